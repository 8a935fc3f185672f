#ifndef TANAGERHOIST_REVIEW_STANDIN_CLIENT_HPP
#define TANAGERHOIST_REVIEW_STANDIN_CLIENT_HPP

#include "record.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <string>

namespace tanagerhoist::review
{

/// Address and port of a listener.
struct listen_point
{
    std::string address;
    std::string port;
};

/// A client's session with a daemon, on one connection.
class client
{
public:
    client(std::string name, listen_point daemon, record& lines);

    /// Connects and sends STARTUP.
    bool open(const std::string& database, const std::string& key);

    /// Sends a statement and waits for its whole answer.
    /// @return its last line but READY; empty if the connection ended first
    std::string query(const std::string& id, const std::string& text);

private:
    std::string next_line();

    std::string name_;
    listen_point daemon_;
    record& record_;
    boost::asio::io_context context_;
    boost::asio::ip::tcp::socket socket_;
    std::string input_;
};

/// Asks a daemon's readiness address as the platform does.
bool is_ready(const listen_point& readiness);

/// A port that nobody uses at the address now.
std::string free_port(const std::string& address);

} // namespace tanagerhoist::review

#endif
