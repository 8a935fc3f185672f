#ifndef TANAGERHOIST_TOOLS_DAEMON_SESSION_TRANSPORT_HPP
#define TANAGERHOIST_TOOLS_DAEMON_SESSION_TRANSPORT_HPP

#include "tanagerhoist/adapter/line_stream.hpp"
#include "tanagerhoist/adapter/loop_monitor.hpp"
#include "tanagerhoist/session/client_deadlines.hpp"
#include "tanagerhoist/session/leaving_clients.hpp"
#include "tanagerhoist/session/proxy.hpp"
#include "tanagerhoist/session/resource_account.hpp"

#include <boost/asio/io_context.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <iosfwd>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace tanagerhoist
{

/// What clients may use of the process.
struct client_limits
{
    std::size_t memory;      ///< of the process, in bytes
    std::size_t descriptors; ///< of the process
    milliseconds timeout;    ///< to end a line, accept an answer or start
};

/// Sockets of client sessions and server connections. Passes lines between them
/// and the proxy.
class session_transport : public proxy_transport
{
public:
    using clock = std::function<moment()>;

    session_transport(boost::asio::io_context& context, loop_monitor& monitor,
                      structured_log& log, const client_limits& limits,
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

    /// Closes clients that are overdue; must be called regularly.
    void tick(moment now);

    std::size_t clients() const { return clients_.size(); }

    /// Whether a client has yet to accept a part of an answer.
    bool has_unsent() const;

    /// Prints the metrics.
    void print(std::ostream& out) const;

    void answer(session_id session, const session_answer& answer) override;
    void accept_session(session_id session) override;
    void end_session(session_id session,
                     std::optional<session_error> error) override;
    void open(connection_id connection, const backend_server& server,
              const std::string& workspace) override;
    void send(connection_id connection,
              const server_statement& statement) override;
    void close(connection_id connection) override;
    bool has_unread(connection_id connection) const override;
    void request_grant() override { request_grant_(); }

private:
    struct client
    {
        std::shared_ptr<line_stream> stream; ///< shared with its handlers
        client_deadlines deadlines;
        bool started = false;
        bool paused = false; ///< a statement is not answered
        bool resumes_when_sent = false;
    };
    struct closed_count
    {
        std::uint64_t total = 0;
        std::uint64_t unlogged = 0;
    };
    struct server_socket
    {
        std::shared_ptr<boost::asio::ip::tcp::socket> opening;
        std::shared_ptr<line_stream> stream; ///< once connected
        bool started = false;
        std::size_t answer_size = 0; ///< bytes received of the current answer
    };

    void client_line(session_id id, std::string_view line);
    void client_ended(session_id id, stream_end why);
    void reject(session_id id, session_error error);
    void connected(connection_id id, const std::string& start);
    void server_line(connection_id id, std::string_view line);
    void server_bytes(connection_id id);
    void read_on(session_id id);

    // Limits: session_transport_limits.cpp
    bool make_room();
    void note(session_id id);
    void buffers_changed(session_id id);
    void free_memory();
    void shed(session_id id, close_cause cause);
    void leave(session_id id);
    void close_leaving(moment now);
    void count_closed(close_cause cause);
    void close_overdue(moment now);
    void log_closed();

    boost::asio::io_context& context_;
    loop_monitor& monitor_;
    structured_log& log_;
    clock now_;
    milliseconds client_timeout_;
    resource_account account_;
    std::array<closed_count, close_causes> closed_{};
    leaving_clients leaving_;
    /// Connections of those; they end by themselves once all is sent.
    std::unordered_map<session_id, std::shared_ptr<line_stream>> last_answers_;
    moment next_sweep_{};
    proxy* proxy_ = nullptr;
    std::function<void()> request_grant_;
    std::unordered_map<session_id, client> clients_;
    std::unordered_map<connection_id, server_socket> servers_;
    session_id next_session_ = 1;
};

} // namespace tanagerhoist

#endif
