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

/// A TCP connection that carries lines terminated by LF or CR LF. An idle
/// stream keeps no large buffer. Not thread-safe.
class line_stream : public std::enable_shared_from_this<line_stream>
{
public:
    struct handlers
    {
        std::function<void(std::string_view)> line;
        /// Called at most once; not after `close`.
        std::function<void(stream_end)> end;
    };

    /// @param line_limit largest line, in bytes
    line_stream(boost::asio::ip::tcp::socket socket, std::size_t line_limit);

    /// Starts reading. The callbacks run on the socket's executor.
    void start(handlers callbacks);

    /// Delivers no lines until `resume`.
    void pause() { paused_ = true; }
    void resume();

    /// Whether received bytes have not been delivered yet.
    bool has_input() const { return !input_.empty(); }

    /// Sends `bytes`, buffering what the socket does not accept at once.
    void write(std::string_view bytes);

    /// Sends the buffered output, then closes the connection. No handler is
    /// called afterwards.
    void close();

    boost::asio::ip::tcp::socket& socket() { return socket_; }

private:
    void wait_readable();
    void read_some();
    void deliver_lines();
    void reject_input();
    void flush();
    void finish();
    void fail(stream_end why);

    boost::asio::ip::tcp::socket socket_;
    std::size_t line_limit_;
    handlers handlers_;
    std::string input_;
    std::string output_;
    bool paused_ = false;
    bool delivering_ = false;
    bool write_pending_ = false;
    bool closing_ = false;
    bool ended_ = false;
};

} // namespace tanagerhoist

#endif
