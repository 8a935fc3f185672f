#include "standin/wire_link.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace tanagerhoist::standin
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t longest_piece = 7; // bytes

} // namespace

wire_link::wire_link(tcp::socket socket, wire_random& random, bool pieces)
    : socket_(std::move(socket)), random_(random), pieces_(pieces)
{
}

void wire_link::start()
{
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    read();
}

void wire_link::read()
{
    socket_.async_read_some(
        asio::buffer(input_),
        [self = shared_from_this()](error_code error, std::size_t size)
        {
            if (error)
            {
                self->lose();
                return;
            }
            self->lines_.add(std::string_view(self->input_.data(), size));
            self->take_lines();
            if (!self->closed_)
            {
                self->read();
            }
        });
}

void wire_link::take_lines()
{
    while (!closed_)
    {
        const auto line = lines_.next();
        if (!line)
        {
            return;
        }
        line_arrived(*line);
    }
}

void wire_link::send(std::string bytes)
{
    if (closed_ || closing_ || bytes.empty())
    {
        return;
    }
    output_.push_back(std::move(bytes));
    if (!writing_)
    {
        write();
    }
}

void wire_link::write()
{
    writing_ = true;
    const auto& message = output_.front();
    auto size = message.size() - written_;
    if (pieces_)
    {
        size = std::min(size, random_.between(1, longest_piece));
    }
    socket_.async_write_some(
        asio::buffer(message.data() + written_, size),
        [self = shared_from_this()](error_code error, std::size_t written)
        {
            self->writing_ = false;
            if (error)
            {
                self->lose();
                return;
            }
            self->written_ += written;
            if (self->written_ == self->output_.front().size())
            {
                self->output_.pop_front();
                self->written_ = 0;
            }
            if (!self->output_.empty())
            {
                self->write();
            }
            else if (self->closing_)
            {
                self->close();
            }
        });
}

void wire_link::close_after_output()
{
    closing_ = true;
    if (!writing_)
    {
        close();
    }
}

void wire_link::close()
{
    if (closed_)
    {
        return;
    }
    closed_ = true;
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
}

void wire_link::lose()
{
    if (!closed_)
    {
        close();
        link_lost();
    }
}

} // namespace tanagerhoist::standin
