#ifndef TANAGERHOIST_TESTS_SCRIPTED_SERVER_HPP
#define TANAGERHOIST_TESTS_SCRIPTED_SERVER_HPP

#include "tanagerhoist/adapter/fiber_loop.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/fiber.hpp>

#include <sys/socket.h>

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <utility>

namespace tanagerhoist
{

/// Server side of one connection, with calls that block.
class scripted_connection
{
public:
    explicit scripted_connection(boost::asio::ip::tcp::socket socket)
        : socket_(std::move(socket))
    {
        socket_.set_option(boost::asio::ip::tcp::no_delay(true));
    }

    /// Reads up to and including `end`.
    /// @return what came before it; nothing once the client has closed
    std::optional<std::string> read_until(const std::string& end)
    {
        boost::system::error_code error;
        const auto size = boost::asio::read_until(
            socket_, boost::asio::dynamic_buffer(input_), end, error);
        if (error)
        {
            return std::nullopt;
        }
        auto text = input_.substr(0, size - end.size());
        input_.erase(0, size);
        return text;
    }

    /// Sends bytes in one piece; they are lost if the client has closed.
    void write(const std::string& bytes)
    {
        boost::system::error_code gone;
        boost::asio::write(socket_, boost::asio::buffer(bytes), gone);
    }

private:
    boost::asio::ip::tcp::socket socket_;
    std::string input_;
};

/// Server on loopback that serves one connection after the other by a script,
/// on a thread of its own. Its clients must have closed before its end.
class scripted_server
{
public:
    using script = std::function<void(scripted_connection&)>;

    /// @param serve called for each connection, which is closed afterwards
    explicit scripted_server(script serve)
        : serve_(std::move(serve)), thread_([this] { run(); })
    {
    }

    ~scripted_server()
    {
        ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
        thread_.join();
    }

    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

    std::uint16_t port() const { return port_; }

    /// Connections accepted so far.
    int connections() const { return connections_; }

private:
    void run()
    {
        for (;;)
        {
            boost::system::error_code closed;
            auto socket = acceptor_.accept(closed);
            if (closed)
            {
                return;
            }
            ++connections_;
            scripted_connection connection(std::move(socket));
            serve_(connection);
        }
    }

    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_{
        context_, {boost::asio::ip::address_v4::loopback(), 0}};
    std::uint16_t port_ = acceptor_.local_endpoint().port();
    std::atomic<int> connections_{0};
    script serve_;
    std::thread thread_;
};

/// Runs `body` as a fiber on a loop of its own and returns after it.
inline void
run_as_fiber(const std::function<void(boost::asio::io_context&)>& body)
{
    std::thread thread(
        [&]
        {
            boost::asio::io_context context;
            const auto work = boost::asio::make_work_guard(context);
            boost::fibers::fiber(boost::fibers::launch::post,
                                 [&]
                                 {
                                     body(context);
                                     context.stop();
                                 })
                .detach();
            run_fiber_loop(context);
        });
    thread.join();
}

} // namespace tanagerhoist

#endif
