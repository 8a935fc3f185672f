#ifndef TANAGERHOIST_TOOLS_DAEMON_SESSION_TRANSPORT_HPP
#define TANAGERHOIST_TOOLS_DAEMON_SESSION_TRANSPORT_HPP

#include "tanagerhoist/adapter/line_stream.hpp"
#include "tanagerhoist/adapter/loop_monitor.hpp"
#include "tanagerhoist/session/proxy.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace tanagerhoist
{

/// Sockets of client sessions and server connections. Passes lines between them
/// and the proxy.
class session_transport : public proxy_transport
{
public:
    using clock = std::function<moment()>;

    session_transport(boost::asio::io_context& context, loop_monitor& monitor,
                      clock now);

    /// Sets the receiver of inputs; must precede the first connection.
    /// @param request_grant called when a statement needs a grant
    void attach(proxy& decisions, std::function<void()> request_grant)
    {
        proxy_ = &decisions;
        request_grant_ = std::move(request_grant);
    }

    /// Starts a session on a client's connection.
    void accept(boost::asio::ip::tcp::socket socket);

    std::size_t clients() const { return clients_.size(); }

    void answer(session_id session, const session_answer& answer) override;
    void accept_session(session_id session) override;
    void end_session(session_id session,
                     std::optional<session_error> error) override;
    void open(connection_id connection, const backend_server& server,
              const std::string& workspace) override;
    void send(connection_id connection,
              const server_statement& statement) override;
    void close(connection_id connection) override;
    void request_grant() override { request_grant_(); }

private:
    struct client
    {
        std::shared_ptr<line_stream> stream; ///< shared with its handlers
        bool started = false;
    };
    struct server_socket
    {
        std::shared_ptr<boost::asio::ip::tcp::socket> opening;
        std::shared_ptr<line_stream> stream; ///< once connected
        bool started = false;
    };

    void client_line(session_id id, std::string_view line);
    void client_ended(session_id id, stream_end why);
    void reject(session_id id, session_error error);
    void connected(connection_id id, const std::string& start);
    void server_line(connection_id id, std::string_view line);

    boost::asio::io_context& context_;
    loop_monitor& monitor_;
    clock now_;
    proxy* proxy_ = nullptr;
    std::function<void()> request_grant_;
    std::unordered_map<session_id, client> clients_;
    std::unordered_map<connection_id, server_socket> servers_;
    session_id next_session_ = 1;
};

} // namespace tanagerhoist

#endif
