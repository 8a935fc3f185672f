#ifndef TANAGERHOIST_STANDIN_SESSION_SERVER_HPP
#define TANAGERHOIST_STANDIN_SESSION_SERVER_HPP

#include "standin/session_group.hpp"
#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/session/transaction_state.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace tanagerhoist::standin
{

/// What the servers of a group have in common for their control commands.
struct control_commands
{
    milliseconds duration; ///< time that each of them takes

    /// Called with the server and the command that has arrived.
    std::function<void(const std::string&, const std::string&)> arrived;
};

/// One backend server of a group: connections with the line protocol, on which
/// control commands run, and the statements that store nothing: values,
/// transactions and reads. Others are rejected. `context` must run on one
/// thread, and not after the server's end.
class session_server
{
public:
    session_server(boost::asio::io_context& context,
                   const boost::asio::ip::tcp::endpoint& listen, std::string id,
                   session_group& group, const control_commands& commands);

    const std::string& id() const { return id_; }

    /// Address and port, as the store's rows name them.
    std::string address() const;

private:
    class connection;

    void accept();
    bool responds() const { return group_.responds(id_); }
    bool accepts(const std::string& line) const;
    std::string ready(transaction_state state = transaction_state::none) const;
    std::string run(const std::string& command);

    /// Signature of one run of a statement, which no other run has.
    std::string next_signature();

    boost::asio::ip::tcp::acceptor acceptor_;
    std::string id_;
    session_group& group_;
    const control_commands& commands_;
    std::uint64_t signatures_ = 0; ///< given so far
};

} // namespace tanagerhoist::standin

#endif
