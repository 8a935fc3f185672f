#include "session_transport.hpp"

#include <iterator>
#include <ostream>
#include <string>
#include <utility>

// What clients may hold, and which of them are closed for it.
namespace tanagerhoist
{
namespace
{

constexpr milliseconds sweep_interval{1000};

constexpr std::array<const char*, close_causes> cause_names = {
    "memory",       "descriptors",    "refused",
    "line_timeout", "answer_timeout", "start_timeout"};

} // namespace

/// Closes clients that do not fit beside one more.
/// @return whether there is room for it
bool session_transport::make_room()
{
    if (!account_.is_full())
    {
        return true;
    }
    if (const auto client = account_.to_free_connection())
    {
        shed(*client, close_cause::descriptors);
        return true;
    }
    count_closed(close_cause::refused);
    return false;
}

/// Brings the account up to date with a client's buffers and session.
void session_transport::note(session_id id)
{
    const auto it = clients_.find(id);
    if (it == clients_.end())
    {
        return;
    }
    auto& client = it->second;
    const auto now = now_();
    auto held = proxy_->held_by(id);
    held.input = client.stream->input_capacity();
    held.unsent = client.stream->output_capacity();
    account_.update(id, held, proxy_->activity_of(id));
    client.deadlines.note_input(
        now, client.paused ? 0 : client.stream->input_size());
    client.deadlines.note_output(now, client.stream->output_size());
}

/// A client's buffers have changed: reads on once its answers are sent.
void session_transport::buffers_changed(session_id id)
{
    const auto it = clients_.find(id);
    if (it == clients_.end())
    {
        return;
    }
    auto& client = it->second;
    const auto stream = client.stream;
    if (client.resumes_when_sent && !stream->has_unsent())
    {
        client.resumes_when_sent = false;
        client.paused = false;
        account_.note_progress(now_(), id);
        stream->resume();
    }
    note(id);
    free_memory();
}

void session_transport::free_memory()
{
    while (const auto client = account_.to_free_memory())
    {
        note(*client); // it may have begun to commit since
        if (account_.to_free_memory() == client)
        {
            shed(*client, close_cause::memory);
        }
    }
}

/// Closes a client at once and discards what it has not read.
void session_transport::shed(session_id id, close_cause cause)
{
    const auto it = clients_.find(id);
    if (it == clients_.end())
    {
        account_.close(id);
        return;
    }
    const auto stream = it->second.stream;
    clients_.erase(it);
    account_.close(id);
    stream->abort();
    count_closed(cause);
    proxy_->session_closed(now_(), id);
}

/// Closes a client once it has taken its last answer.
void session_transport::leave(session_id id)
{
    const auto it = clients_.find(id);
    if (it == clients_.end())
    {
        return;
    }
    const auto stream = it->second.stream;
    clients_.erase(it);
    account_.close(id);
    stream->close();
    if (!stream->has_unsent())
    {
        return;
    }
    last_answers_[id] = stream;
    leaving_.add(now_(), id, stream->output_capacity());
    close_leaving(now_());
}

/// Closes the connections of clients that have left and do not accept their
/// last answer.
void session_transport::close_leaving(moment now)
{
    for (auto it = last_answers_.begin(); it != last_answers_.end();)
    {
        const bool accepted = !it->second->has_unsent();
        if (accepted)
        {
            leaving_.remove(it->first);
        }
        it = accepted ? last_answers_.erase(it) : std::next(it);
    }
    while (const auto client = leaving_.take_excess(now))
    {
        last_answers_.at(*client)->abort();
        last_answers_.erase(*client);
    }
}

void session_transport::count_closed(close_cause cause)
{
    auto& closed = closed_.at(static_cast<std::size_t>(cause));
    ++closed.total;
    ++closed.unlogged;
}

void session_transport::tick(moment now)
{
    if (now < next_sweep_)
    {
        return;
    }
    next_sweep_ = now + sweep_interval;
    close_leaving(now);
    close_overdue(now);
    free_memory();
    log_closed();
}

void session_transport::close_overdue(moment now)
{
    std::vector<std::pair<session_id, close_cause>> overdue;
    for (const auto& [id, client] : clients_)
    {
        if (const auto cause = client.deadlines.overdue(now, client_timeout_))
        {
            overdue.emplace_back(id, *cause);
        }
    }
    for (const auto& [id, cause] : overdue)
    {
        shed(id, cause);
    }
}

/// Writes at most one line a cause; `tick` calls it once a second.
void session_transport::log_closed()
{
    for (std::size_t i = 0; i < close_causes; ++i)
    {
        auto& closed = closed_.at(i);
        if (const auto count = std::exchange(closed.unlogged, 0); count != 0)
        {
            log_.write(
                log_level::change, "clients_closed",
                {{"cause", cause_names.at(i)},
                 {"count", std::to_string(count)},
                 {"held_bytes", std::to_string(account_.total().total())},
                 {"clients", std::to_string(clients_.size())}});
        }
    }
}

void session_transport::print(std::ostream& out) const
{
    const auto& held = account_.total();
    const auto bytes = [&out](const char* kind, std::size_t size)
    {
        out << "tanagerhoist_client_bytes{kind=\"" << kind << "\"} " << size
            << '\n';
    };
    out << "# TYPE tanagerhoist_client_bytes gauge\n";
    bytes("input", held.input);
    bytes("unsent", held.unsent);
    bytes("state", held.state);
    bytes("statement", held.statement);
    bytes("servers", proxy_->state_at_servers());
    out << "# TYPE tanagerhoist_clients_closed_total counter\n";
    for (std::size_t i = 0; i < close_causes; ++i)
    {
        out << "tanagerhoist_clients_closed_total{cause=\"" << cause_names.at(i)
            << "\"} " << closed_.at(i).total << '\n';
    }
}

} // namespace tanagerhoist
