#ifndef TANAGERHOIST_STANDIN_WIRE_LINK_HPP
#define TANAGERHOIST_STANDIN_WIRE_LINK_HPP

#include "standin/wire_random.hpp"
#include "standin/wire_text.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <cstddef>
#include <deque>
#include <memory>
#include <string>

namespace tanagerhoist::standin
{

/// One connection with the line protocol, of a client or a server. Messages are
/// written one after the other, each whole or in pieces.
class wire_link : public std::enable_shared_from_this<wire_link>
{
public:
    virtual ~wire_link() = default;
    wire_link(const wire_link&) = delete;
    wire_link& operator=(const wire_link&) = delete;

    /// Begins to read.
    void start();

    void send(std::string bytes);

    /// Closes the connection once all has been written.
    void close_after_output();

    void close();
    bool is_closed() const { return closed_; }

protected:
    /// @param pieces whether messages are written in pieces of a few bytes
    wire_link(boost::asio::ip::tcp::socket socket, wire_random& random,
              bool pieces);

    boost::asio::ip::tcp::socket& socket() { return socket_; }

    virtual void line_arrived(const std::string& line) = 0;

    /// Called once, when the other side has closed.
    virtual void link_lost() = 0;

private:
    static constexpr std::size_t read_size = 65536; // bytes

    void read();
    void take_lines();
    void write();
    void lose();

    boost::asio::ip::tcp::socket socket_;
    wire_random& random_;
    bool pieces_;
    wire_lines lines_;
    std::array<char, read_size> input_{};
    std::deque<std::string> output_;
    std::size_t written_ = 0; ///< of the first message
    bool writing_ = false;
    bool closing_ = false;
    bool closed_ = false;
};

} // namespace tanagerhoist::standin

#endif
