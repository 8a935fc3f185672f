#include "session_transport.hpp"

#include "platform/line_protocol.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace tanagerhoist
{

namespace asio = boost::asio;
using boost::system::error_code;

namespace
{

/// Largest answer of a server, in bytes: more can't be sent to a client at
/// once.
constexpr std::size_t max_answer_size = std::size_t{4} << 20U;

/// Part of memory and descriptors for the last answers of closed clients, out
/// of what the account leaves to the process.
constexpr std::size_t leaving_divisor = 16;

} // namespace

session_transport::session_transport(asio::io_context& context,
                                     loop_monitor& monitor, structured_log& log,
                                     const client_limits& limits, clock now)
    : context_(context),
      monitor_(monitor),
      log_(log),
      now_(std::move(now)),
      client_timeout_(limits.timeout),
      account_(limits.memory, limits.descriptors),
      leaving_(limits.descriptors / leaving_divisor,
               limits.memory / leaving_divisor, limits.timeout)
{
}

// ---- clients --------------------------------------------------------------

void session_transport::accept(asio::ip::tcp::socket socket)
{
    if (!make_room())
    {
        return; // closes the socket
    }
    const auto id = next_session_++;
    auto stream =
        std::make_shared<line_stream>(std::move(socket), platform::line_limit);
    const auto now = now_();
    clients_.emplace(id, client{stream, client_deadlines(now)});
    account_.open(now, id);
    stream->start({[this, id](std::string_view line) { client_line(id, line); },
                   [this, id](stream_end why) { client_ended(id, why); },
                   [this, id] { buffers_changed(id); }});
}

void session_transport::client_line(session_id id, std::string_view line)
{
    const loop_monitor::measurement measured(monitor_, loop_work::client);
    const auto it = clients_.find(id);
    if (it == clients_.end())
    {
        return;
    }
    auto& client = it->second;
    auto parsed = platform::parse_client_line(line);
    using kind = platform::client_line::kind;
    if (parsed.what == kind::end)
    {
        leave(id);
        proxy_->session_closed(now_(), id);
    }
    else if (parsed.what == kind::start && !client.started)
    {
        client.started = true;
        client.deadlines.note_start();
        proxy_->start_session(now_(), id, parsed.first, parsed.second);
    }
    else if (parsed.what == kind::query && client.started)
    {
        client.stream->pause();
        client.paused = true;
        client.deadlines.note_input(now_(), 0);
        auto statement = platform::parse_statement(parsed.second);
        statement.room = parsed.room;
        proxy_->query(now_(), id, parsed.first, std::move(statement));
    }
    else
    {
        reject(id, session_error::malformed);
    }
}

void session_transport::client_ended(session_id id, stream_end why)
{
    if (why == stream_end::too_long)
    {
        reject(id, session_error::malformed);
        return;
    }
    clients_.erase(id);
    account_.close(id);
    proxy_->session_closed(now_(), id);
}

/// Sends an error and ends the session.
void session_transport::reject(session_id id, session_error error)
{
    end_session(id, error);
    proxy_->session_closed(now_(), id);
}

void session_transport::answer(session_id session, const session_answer& answer)
{
    const auto it = clients_.find(session);
    if (it == clients_.end())
    {
        return;
    }
    std::string bytes;
    if (answer.error)
    {
        bytes = platform::error_line(*answer.error, answer.text);
    }
    else
    {
        for (const auto& row : answer.rows)
        {
            bytes += platform::row_line(row);
        }
        bytes += platform::complete_line(answer.signature);
    }
    bytes += platform::ready_line(answer.state, answer.position);
    const auto stream = it->second.stream;
    stream->write(bytes);
    if (stream->has_unsent())
    {
        it->second.resumes_when_sent = true;
        note(session);
        // Posted, so that a close does not re-enter the proxy.
        asio::post(context_, [this] { free_memory(); });
    }
    else if (stream->has_input())
    {
        account_.note_progress(now_(), session);
        asio::post(context_, [this, session] { read_on(session); });
    }
    else
    {
        account_.note_progress(now_(), session);
        it->second.paused = false;
        stream->resume();
        note(session);
    }
}

bool session_transport::has_unsent() const
{
    return std::any_of(clients_.begin(), clients_.end(),
                       [](const auto& entry)
                       { return entry.second.stream->has_unsent(); }) ||
           std::any_of(last_answers_.begin(), last_answers_.end(),
                       [](const auto& entry)
                       { return entry.second->has_unsent(); });
}

/// Handles the input that a client has sent ahead.
void session_transport::read_on(session_id id)
{
    const auto it = clients_.find(id);
    if (it == clients_.end())
    {
        return;
    }
    it->second.paused = false;
    const auto stream = it->second.stream;
    stream->resume();
    note(id);
    free_memory();
}

void session_transport::accept_session(session_id session)
{
    const auto it = clients_.find(session);
    if (it != clients_.end())
    {
        it->second.stream->write(
            platform::ready_line(transaction_state::none, std::nullopt));
    }
}

void session_transport::end_session(session_id session,
                                    std::optional<session_error> error)
{
    const auto it = clients_.find(session);
    if (it == clients_.end())
    {
        return;
    }
    if (error)
    {
        it->second.stream->write(platform::error_line(*error, "refused"));
    }
    leave(session);
}

// ---- servers --------------------------------------------------------------

void session_transport::open(connection_id connection,
                             const backend_server& server,
                             const std::string& workspace)
{
    error_code error;
    const auto ip = asio::ip::make_address(server.address, error);
    auto socket = std::make_shared<asio::ip::tcp::socket>(context_);
    servers_[connection].opening = socket;
    if (error)
    {
        return; // not an IP number: the proxy's timeout handles it
    }
    socket->async_connect(
        {ip, server.port},
        [this, connection, socket,
         start = platform::start_line(server.group, workspace, server.id)](
            error_code failed)
        {
            if (servers_.count(connection) == 0)
            {
                return; // closed in the meantime
            }
            if (failed)
            {
                servers_.erase(connection);
                proxy_->connection_lost(now_(), connection);
                return;
            }
            connected(connection, start);
        });
}

void session_transport::connected(connection_id id, const std::string& start)
{
    auto& server = servers_.at(id);
    server.stream = std::make_shared<line_stream>(std::move(*server.opening),
                                                  platform::line_limit);
    server.opening.reset();
    const auto stream = server.stream;
    stream->start({[this, id](std::string_view line) { server_line(id, line); },
                   [this, id](stream_end)
                   {
                       if (servers_.erase(id) != 0)
                       {
                           proxy_->connection_lost(now_(), id);
                       }
                   },
                   [this, id] { server_bytes(id); }});
    stream->write(start);
}

void session_transport::server_line(connection_id id, std::string_view line)
{
    const loop_monitor::measurement measured(monitor_, loop_work::server);
    const auto it = servers_.find(id);
    if (it == servers_.end())
    {
        return;
    }
    auto parsed = platform::parse_server_line(line);
    using kind = platform::server_line::kind;
    auto& server = it->second;
    server.answer_size += line.size();
    if (!server.started && parsed.what == kind::ready)
    {
        server.started = true;
        server.answer_size = 0;
        proxy_->connection_opened(now_(), id, parsed.position);
        return;
    }
    if (!server.started || parsed.what == kind::malformed ||
        server.answer_size > max_answer_size)
    {
        const bool refused = !server.started && parsed.what == kind::error;
        server.stream->close();
        servers_.erase(it);
        if (refused)
        {
            proxy_->connection_refused(now_(), id, parsed.error);
        }
        else
        {
            proxy_->connection_lost(now_(), id);
        }
        return;
    }
    switch (parsed.what)
    {
    case kind::row:
        proxy_->server_row(now_(), id, std::move(parsed.text),
                           std::move(parsed.row_starts));
        break;
    case kind::complete:
        proxy_->server_complete(now_(), id, std::move(parsed.text));
        break;
    case kind::error:
        proxy_->server_error(now_(), id, parsed.error, std::move(parsed.text));
        break;
    default:
        server.answer_size = 0;
        proxy_->server_ready(now_(), id, parsed.state, parsed.position);
        break;
    }
}

/// Reports a part of a line that has arrived.
void session_transport::server_bytes(connection_id id)
{
    const auto it = servers_.find(id);
    if (it != servers_.end() && it->second.started &&
        it->second.stream->has_input())
    {
        proxy_->server_bytes(now_(), id);
    }
}

bool session_transport::has_unread(connection_id connection) const
{
    const auto it = servers_.find(connection);
    return it != servers_.end() && it->second.stream &&
           it->second.stream->has_unread();
}

void session_transport::send(connection_id connection,
                             const server_statement& statement)
{
    const auto it = servers_.find(connection);
    if (it != servers_.end() && it->second.stream)
    {
        it->second.stream->write(platform::query_line(statement));
    }
}

void session_transport::close(connection_id connection)
{
    const auto it = servers_.find(connection);
    if (it == servers_.end())
    {
        return;
    }
    const auto server = std::move(it->second);
    servers_.erase(it);
    if (server.stream)
    {
        server.stream->close();
    }
    else if (server.opening)
    {
        error_code ignored; // no data was sent on it
        server.opening->close(ignored);
    }
}

} // namespace tanagerhoist
