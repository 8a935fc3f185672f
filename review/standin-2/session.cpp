#include "session.hpp"

#include <iomanip>
#include <sstream>

namespace tanagerhoist::review
{
namespace
{

using asio::ip::tcp;
using boost::system::error_code;

/// Reads a line; empty if the connection has ended.
std::string read_line(tcp::socket& socket, std::string& input,
                      const asio::yield_context& yield)
{
    error_code error;
    const auto size = asio::async_read_until(
        socket, asio::dynamic_buffer(input), "\r\n", yield[error]);
    if (error)
    {
        return {};
    }
    auto line = input.substr(0, size - 2);
    input.erase(0, size);
    return line;
}

} // namespace

bool session::start(std::uint16_t port, const std::string& database,
                    const std::string& key, const asio::yield_context& yield)
{
    error_code error;
    socket_.async_connect({asio::ip::make_address("127.0.0.1"), port},
                          yield[error]);
    if (error)
    {
        return false;
    }
    socket_.set_option(tcp::no_delay(true), error);
    const auto line = "STARTUP " + database + ' ' + key + "\r\n";
    asio::async_write(socket_, asio::buffer(line), yield[error]);
    return !error && read_line(socket_, input_, yield).rfind("READY I", 0) == 0;
}

bool session::send(const std::string& id, const std::string& text,
                   const asio::yield_context& yield)
{
    error_code error;
    const auto line = "QUERY " + id + ' ' + text + "\r\n";
    asio::async_write(socket_, asio::buffer(line), yield[error]);
    return !error;
}

outcome session::receive(const asio::yield_context& yield)
{
    outcome made;
    for (;;)
    {
        const auto line = read_line(socket_, input_, yield);
        const auto word = line.substr(0, line.find(' '));
        if (word == "COMPLETE" || word == "ERROR")
        {
            made.is_error = word == "ERROR";
            made.result = line.substr(word.size() + 1);
        }
        else if (word == "READY")
        {
            made.complete = true;
            made.state = line.at(word.size() + 1);
            const auto point = line.find('.');
            made.position = point == std::string::npos
                                ? 0
                                : std::stoull(line.substr(point + 1));
            return made;
        }
        else if (word != "ROW")
        {
            return made;
        }
    }
}

void session::close()
{
    error_code ignored;
    socket_.close(ignored);
}

std::uint16_t session::local_port() const
{
    error_code error;
    const auto end = socket_.local_endpoint(error);
    return error ? 0 : end.port();
}

std::string new_id()
{
    static std::uint64_t last = 0x5c0e7a21d94b0000;
    std::ostringstream text;
    text << std::hex << ++last;
    return text.str();
}

} // namespace tanagerhoist::review
