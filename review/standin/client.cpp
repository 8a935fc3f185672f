#include "client.hpp"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace tanagerhoist::review
{
namespace
{

using boost::asio::ip::tcp;
using boost::system::error_code;

tcp::endpoint endpoint_of(const listen_point& where)
{
    return {boost::asio::ip::make_address(where.address),
            static_cast<std::uint16_t>(std::stoul(where.port))};
}

} // namespace

client::client(std::string name, listen_point daemon, record& lines)
    : name_(std::move(name)),
      daemon_(std::move(daemon)),
      record_(lines),
      socket_(context_)
{
}

bool client::open(const std::string& database, const std::string& key)
{
    error_code failed;
    input_.clear();
    socket_ = tcp::socket(context_);
    socket_.connect(endpoint_of(daemon_), failed);
    const auto line = "STARTUP " + database + ' ' + key + "\r\n";
    if (!failed)
    {
        boost::asio::write(socket_, boost::asio::buffer(line), failed);
    }
    return !failed && next_line().rfind("READY ", 0) == 0;
}

std::string client::query(const std::string& id, const std::string& text)
{
    error_code failed;
    const auto line = "QUERY " + id + ' ' + text + "\r\n";
    record_.write(name_ + " sends " + id + ' ' + text);
    boost::asio::write(socket_, boost::asio::buffer(line), failed);
    std::string last;
    for (auto next = next_line(); !next.empty(); next = next_line())
    {
        if (next.rfind("READY ", 0) == 0)
        {
            auto received = name_ + " gets " + id;
            received += ' ' + last;
            record_.write(received);
            return last;
        }
        last = next;
    }
    record_.write(name_ + " gets no answer to " + id);
    return {};
}

/// @return the next line; empty if the connection has ended
std::string client::next_line()
{
    error_code failed;
    const auto size = boost::asio::read_until(
        socket_, boost::asio::dynamic_buffer(input_), "\r\n", failed);
    if (failed)
    {
        return {};
    }
    auto line = input_.substr(0, size - 2);
    input_.erase(0, size);
    return line;
}

bool is_ready(const listen_point& readiness)
{
    boost::asio::io_context context;
    tcp::socket socket(context);
    error_code failed;
    socket.connect(endpoint_of(readiness), failed);
    const std::string request =
        "GET /api/ready HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n";
    if (!failed)
    {
        boost::asio::write(socket, boost::asio::buffer(request), failed);
    }
    std::string answer;
    if (!failed)
    {
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(answer),
                                "\r\n", failed);
    }
    return answer.rfind("HTTP/1.1 200", 0) == 0;
}

std::string free_port(const std::string& address)
{
    boost::asio::io_context context;
    const tcp::acceptor probe(context,
                              {boost::asio::ip::make_address(address), 0});
    return std::to_string(probe.local_endpoint().port());
}

} // namespace tanagerhoist::review
