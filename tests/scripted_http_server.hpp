#ifndef TANAGERHOIST_TESTS_SCRIPTED_HTTP_SERVER_HPP
#define TANAGERHOIST_TESTS_SCRIPTED_HTTP_SERVER_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <cstdint>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace tanagerhoist
{

/// A complete answer with this body.
inline std::string http_text(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

/// Server on a loopback port that answers the requests with given bytes, in
/// the order in which they come on any of its connections. It takes a request
/// to end with `request_end`, and says nothing once the bytes are used up.
class scripted_http_server
{
public:
    scripted_http_server(std::string request_end,
                         std::vector<std::string> answers)
        : request_end_(std::move(request_end)), answers_(std::move(answers))
    {
        accept();
        thread_ = std::thread([this] { context_.run(); });
    }

    ~scripted_http_server()
    {
        context_.stop();
        thread_.join();
    }

    scripted_http_server(const scripted_http_server&) = delete;
    scripted_http_server& operator=(const scripted_http_server&) = delete;

    std::uint16_t port() const { return port_; }

    /// Sends bytes that no request asked for on the newest connection; they
    /// have arrived when it returns.
    void send(const std::string& bytes)
    {
        std::promise<void> written;
        boost::asio::post(context_,
                          [&]
                          {
                              boost::asio::write(connections_.back()->socket,
                                                 boost::asio::buffer(bytes));
                              written.set_value();
                          });
        written.get_future().get();
    }

    /// Texts of the requests so far.
    std::vector<std::string> requests()
    {
        std::promise<std::vector<std::string>> copied;
        boost::asio::post(context_, [&] { copied.set_value(requests_); });
        return copied.get_future().get();
    }

private:
    using tcp = boost::asio::ip::tcp;

    struct connection
    {
        explicit connection(tcp::socket s) : socket(std::move(s)) {}
        tcp::socket socket;
        boost::asio::streambuf received;
    };

    void accept()
    {
        acceptor_.async_accept(
            [this](boost::system::error_code error, tcp::socket socket)
            {
                if (!error)
                {
                    connections_.push_back(
                        std::make_shared<connection>(std::move(socket)));
                    read(connections_.back());
                    accept();
                }
            });
    }

    void read(const std::shared_ptr<connection>& from)
    {
        boost::asio::async_read_until(
            from->socket, from->received, request_end_,
            [this, from](boost::system::error_code error, std::size_t size)
            {
                if (error)
                {
                    return;
                }
                const auto* text =
                    static_cast<const char*>(from->received.data().data());
                requests_.emplace_back(text, size);
                from->received.consume(size);
                answer(*from);
                read(from);
            });
    }

    void answer(connection& to)
    {
        if (requests_.size() <= answers_.size())
        {
            boost::system::error_code gone; // of a client that has given up
            boost::asio::write(
                to.socket, boost::asio::buffer(answers_[requests_.size() - 1]),
                gone);
        }
    }

    std::string request_end_;
    std::vector<std::string> answers_;
    std::vector<std::string> requests_;
    boost::asio::io_context context_;
    tcp::acceptor acceptor_{context_,
                            {boost::asio::ip::address_v4::loopback(), 0}};
    std::uint16_t port_ = acceptor_.local_endpoint().port();
    std::vector<std::shared_ptr<connection>> connections_;
    std::thread thread_;
};

} // namespace tanagerhoist

#endif
