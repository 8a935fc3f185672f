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

/// Why a line stream ended.
enum class stream_end
{
    closed,   ///< by the other side, or by a failure on the way
    too_long, ///< a line above the limit; the stream can still be written
    backlog   ///< the other side does not read what it is sent
};

/// A connection that carries lines ended by CR LF. An idle stream holds no
/// buffer. Not for several threads.
class line_stream : public std::enable_shared_from_this<line_stream>
{
public:
    struct handlers
    {
        std::function<void(std::string_view)> line;
        std::function<void(stream_end)> end; ///< at most once, not by `close`
    };

    line_stream(boost::asio::ip::tcp::socket socket, std::size_t line_limit);

    /// Begins to read.
    void start(handlers callbacks);

    /// Stops handing out lines until `resume`.
    void pause() { paused_ = true; }
    void resume();

    /// Whether bytes wait that were not handed out.
    bool has_input() const { return !input_.empty(); }

    void write(std::string_view bytes);

    /// Sends what is written, then ends the connection. The handlers are not
    /// called any more.
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
