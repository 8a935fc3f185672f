#include "tanagerhoist/adapter/line_stream.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace tanagerhoist
{
namespace
{

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t read_buffer_size = std::size_t{16} * 1024; // bytes
constexpr std::size_t max_unsent_size = std::size_t{4} << 20U;   // bytes
constexpr std::size_t max_idle_capacity = std::size_t{4} * 1024; // bytes
constexpr std::string_view line_end = "\r\n";

/// Frees the memory of a buffer that holds little for its capacity.
void release_capacity(std::string& buffer)
{
    constexpr std::size_t fill_divisor = 4;
    if (buffer.capacity() > max_idle_capacity &&
        buffer.size() < buffer.capacity() / fill_divisor)
    {
        buffer.shrink_to_fit();
    }
}

/// Whether the last byte may begin a line end.
bool ends_with_cr(const std::string& input)
{
    return !input.empty() && input.back() == line_end.front();
}

} // namespace

line_stream::line_stream(tcp::socket socket, std::size_t line_limit)
    : socket_(std::move(socket)), line_limit_(line_limit)
{
    error_code ignored; // the first read reports a closed connection
    socket_.non_blocking(true, ignored);
    socket_.set_option(tcp::no_delay(true), ignored);
}

void line_stream::start(handlers callbacks)
{
    handlers_ = std::move(callbacks);
    wait_readable();
}

void line_stream::wait_readable()
{
    if (reading_)
    {
        return;
    }
    reading_ = true;
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](error_code error)
                       {
                           self->reading_ = false;
                           if (!error && !self->ended_ && !self->closing_ &&
                               !self->rejected_)
                           {
                               self->read_some();
                           }
                       });
}

void line_stream::read_some()
{
    thread_local std::array<char, read_buffer_size> buffer;
    error_code error;
    const auto size = socket_.read_some(boost::asio::buffer(buffer), error);
    if (error == boost::asio::error::would_block)
    {
        wait_readable();
        return;
    }
    if (error)
    {
        fail(stream_end::closed);
        return;
    }
    input_.append(buffer.data(), size);
    deliver_lines();
    if (ended_ || closing_ || rejected_)
    {
        return;
    }
    read_on();
    report_change();
}

/// Continues to read. A paused stream reads little ahead, only to notice that
/// the peer closes.
void line_stream::read_on()
{
    const auto limit = std::min(line_limit_, read_buffer_size);
    if (!paused_ || input_.size() < limit)
    {
        wait_readable();
    }
}

void line_stream::report_change()
{
    if (handlers_.buffers_changed && !ended_ && !closing_)
    {
        const auto changed = handlers_.buffers_changed; // may end the stream
        changed();
    }
}

/// Stops reading and reports `too_long`. The stream stays writable, so that the
/// owner can send an error before closing it.
void line_stream::reject_input()
{
    rejected_ = true;
    input_.clear();
    scanned_ = 0;
    release_capacity(input_);
    auto end = std::move(handlers_.end);
    handlers_ = {};
    boost::asio::post(socket_.get_executor(),
                      [end = std::move(end)] { end(stream_end::too_long); });
}

/// Delivers complete lines until paused.
void line_stream::deliver_lines()
{
    if (delivering_ || rejected_)
    {
        return;
    }
    delivering_ = true;
    const auto self = shared_from_this(); // a handler may release the stream
    bool too_long = false;
    while (!paused_ && !ended_ && !closing_ && !too_long)
    {
        const auto end = input_.find(line_end, std::max(delivered_, scanned_));
        if (end == std::string::npos)
        {
            scanned_ = input_.size() - (ends_with_cr(input_) ? 1 : 0);
            too_long = is_too_long(scanned_ - std::min(scanned_, delivered_));
            break;
        }
        too_long = is_too_long(end - delivered_);
        if (!too_long)
        {
            const std::string_view line(input_.data() + delivered_,
                                        end - delivered_);
            delivered_ = end + line_end.size();
            handlers_.line(line);
        }
    }
    input_.erase(0, delivered_);
    scanned_ -= std::min(scanned_, delivered_);
    delivered_ = 0;
    release_capacity(input_);
    delivering_ = false;
    if (too_long && !ended_ && !closing_)
    {
        reject_input();
    }
}

bool line_stream::has_unread() const
{
    if (input_.size() > delivered_)
    {
        return true;
    }
    error_code closed; // the next read reports it
    return !ended_ && socket_.available(closed) != 0;
}

void line_stream::resume()
{
    if (!paused_)
    {
        return;
    }
    paused_ = false;
    deliver_lines();
    if (!ended_ && !closing_ && !rejected_)
    {
        read_on();
    }
}

void line_stream::write(std::string_view bytes)
{
    if (ended_ || closing_)
    {
        return;
    }
    output_.append(bytes);
    if (output_.size() > max_unsent_size)
    {
        fail(stream_end::backlog);
        return;
    }
    if (!write_pending_)
    {
        flush();
    }
}

void line_stream::flush()
{
    error_code error;
    const auto size =
        output_.empty()
            ? 0
            : socket_.write_some(boost::asio::buffer(output_), error);
    if (error && error != boost::asio::error::would_block)
    {
        write_pending_ = false;
        fail(stream_end::closed);
        return;
    }
    output_.erase(0, size);
    release_capacity(output_);
    write_pending_ = !output_.empty();
    if (write_pending_)
    {
        socket_.async_wait(tcp::socket::wait_write,
                           [self = shared_from_this()](error_code failed)
                           {
                               if (!failed && !self->ended_)
                               {
                                   self->flush();
                                   self->report_change();
                               }
                           });
    }
    else if (closing_)
    {
        finish();
    }
}

void line_stream::close()
{
    if (ended_ || closing_)
    {
        return;
    }
    closing_ = true;
    if (output_.empty())
    {
        finish();
    }
}

void line_stream::abort()
{
    if (!ended_)
    {
        std::string().swap(output_);
        if (!delivering_)
        {
            std::string().swap(input_); // else a handler may read the line
        }
        finish();
    }
}

void line_stream::finish()
{
    ended_ = true;
    error_code ignored; // the peer may have closed the connection
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    socket_.close(ignored);
    handlers_ = {};
}

void line_stream::fail(stream_end why)
{
    if (ended_)
    {
        return;
    }
    const bool was_closing = closing_;
    auto end = std::move(handlers_.end);
    finish();
    if (end && !was_closing)
    {
        // Posted, so that a failed write does not re-enter its caller.
        boost::asio::post(socket_.get_executor(),
                          [end = std::move(end), why] { end(why); });
    }
}

} // namespace tanagerhoist
