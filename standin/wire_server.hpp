#ifndef TANAGERHOIST_STANDIN_WIRE_SERVER_HPP
#define TANAGERHOIST_STANDIN_WIRE_SERVER_HPP

#include "standin/wire_execution.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace tanagerhoist::standin
{

/// One server of a group: runs the statements of each connection one after the
/// other, and answers as the mode says.
class wire_server
{
public:
    wire_server(wire_group& group, std::string name, bool primary,
                const boost::asio::ip::tcp::endpoint& listen);

    const std::string& name() const { return name_; }
    bool is_primary() const { return primary_; }

    /// Address and port, as the store's rows name them.
    std::string address() const;

private:
    class connection;

    void accept();

    wire_group& group_;
    std::string name_;
    bool primary_;
    boost::asio::ip::tcp::acceptor acceptor_;
};

} // namespace tanagerhoist::standin

#endif
