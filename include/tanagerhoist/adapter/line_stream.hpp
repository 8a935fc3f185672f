#ifndef TANAGERHOIST_ADAPTER_LINE_STREAM_HPP
#define TANAGERHOIST_ADAPTER_LINE_STREAM_HPP

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace tanagerhoist
{

/// Reason why a line stream ended.
enum class stream_end
{
    closed,   ///< closed by the peer or failed
    too_long, ///< a line exceeds the limit; the stream is still writable
    backlog   ///< the peer does not read; too much unsent output
};

/// A TCP connection that carries lines terminated by CR LF; a CR or LF alone is
/// part of a line. An idle stream keeps no large buffer. Not thread-safe.
class line_stream : public std::enable_shared_from_this<line_stream>
{
public:
    struct handlers
    {
        std::function<void(std::string_view)> line;
        /// Called at most once; not after `close`.
        std::function<void(stream_end)> end;

        /// Optional: called when the buffers have changed outside of `write`
        /// and `resume`.
        std::function<void()> buffers_changed;
    };

    /// @param line_limit largest line without its end, in bytes
    line_stream(boost::asio::ip::tcp::socket socket, std::size_t line_limit);

    /// Starts reading. The callbacks run on the socket's executor.
    void start(handlers callbacks);

    /// Delivers no lines until `resume`.
    void pause() { paused_ = true; }
    void resume();

    /// Whether received bytes have not been delivered yet.
    bool has_input() const { return !input_.empty(); }

    /// Whether bytes have arrived, here or at the socket, after the line that
    /// was delivered last.
    bool has_unread() const;

    /// Bytes received and not delivered, and written and not accepted.
    std::size_t input_size() const { return input_.size(); }
    std::size_t output_size() const { return output_.size(); }

    /// Memory of the buffers, in bytes.
    std::size_t input_capacity() const { return input_.capacity(); }
    std::size_t output_capacity() const { return output_.capacity(); }

    /// Whether the peer has not accepted all output.
    bool has_unsent() const { return !output_.empty(); }

    /// Sends `bytes`, buffering what the socket does not accept at once.
    void write(std::string_view bytes);

    /// Sends the buffered output, then closes the connection. No handler is
    /// called afterwards.
    void close();

    /// Closes the connection and discards its output. No handler is called
    /// afterwards.
    void abort();

    boost::asio::ip::tcp::socket& socket() { return socket_; }

private:
    void wait_readable();
    void read_some();
    void read_on();
    void deliver_lines();
    bool is_too_long(std::size_t size) const { return size > line_limit_; }
    void report_change();
    void reject_input();
    void flush();
    void finish();
    void fail(stream_end why);

    boost::asio::ip::tcp::socket socket_;
    std::size_t line_limit_;
    handlers handlers_;
    std::string input_;
    std::size_t scanned_ = 0; ///< leading bytes of `input_` without a line end
    std::size_t delivered_ = 0; ///< leading bytes of `input_`, while delivering
    std::string output_;
    bool reading_ = false; ///< waits until the socket is readable
    bool paused_ = false;
    bool delivering_ = false;
    bool write_pending_ = false;
    bool closing_ = false;
    bool rejected_ = false; ///< a line was too long; no more is read
    bool ended_ = false;
};

} // namespace tanagerhoist

#endif
