#include "tanagerhoist/session/proxy.hpp"

#include <algorithm>

// Values and prepared statements of sessions, and the memory that they hold.
namespace tanagerhoist
{
namespace
{

/// Copies of a session's values and prepared statements: the session's, those
/// queued to set them at a server, and the connection's.
constexpr std::size_t state_copies = 3;

/// Copies of a statement under way: the session's, the connection's, and the
/// line to the server.
constexpr std::size_t statement_copies = 3;

/// Bytes by which a prepared statement's line grows with its name at servers.
std::size_t growth_of(const statement& what, const prepared_statement& prepared)
{
    const auto size = prepared.shared_name().size();
    return size - std::min(size, what.name.size());
}

/// Frees the memory of a text: an assignment would keep it for reuse.
void free_text(std::string& text)
{
    std::string().swap(text);
}

} // namespace

/// Removes the prepared statement with this name.
/// @return false if there is none
bool proxy::remove_prepared(client_session& session, const std::string& name)
{
    const auto it = session.prepared.find(name);
    if (it == session.prepared.end())
    {
        return false;
    }
    session.state_size -= size_of_entry(name, it->second.shape);
    session.prepared.erase(it);
    return true;
}

void proxy::set_value(client_session& session)
{
    auto& what = session.request.what;
    session.state_size += size_of_entry(what.name, what.argument);
    if (what.kind == statement_kind::set)
    {
        const auto it = session.values.find(what.name);
        if (it != session.values.end())
        {
            session.state_size -= size_of_entry(what.name, it->second);
        }
        session.values[what.name].swap(what.argument);
    }
    else
    {
        remove_prepared(session, what.name);
        auto& prepared = session.prepared[what.name];
        prepared.fits_servers = can_prepare(what);
        prepared.writes = what.writes;
        prepared.shape.swap(what.argument);
    }
    free_text(what.text); // an idle session keeps one copy
    free_text(what.argument);
}

held_bytes proxy::held_by(session_id id) const
{
    const auto it = sessions_.find(id);
    if (it == sessions_.end())
    {
        return {};
    }
    const auto& session = it->second;
    const auto& what = session.request.what;
    held_bytes held;
    held.state = session.state_size * state_copies; // before they are made
    const auto pinned = connections_.find(session.pinned);
    if (pinned != connections_.end())
    {
        // Values that the session has replaced and the connection has not.
        held.state +=
            std::max(session.state_size, pinned->second.state.size()) -
            session.state_size;
    }
    held.statement = session.request.id.capacity() + what.name.capacity() +
                     what.argument.capacity() + what.text.capacity();
    if (!session.is_idle())
    {
        held.statement *= statement_copies;
    }
    return held;
}

client_activity proxy::activity_of(session_id id) const
{
    const auto it = sessions_.find(id);
    if (it == sessions_.end())
    {
        return client_activity::starting;
    }
    const auto& session = it->second;
    if (session.is_idle())
    {
        return client_activity::idle;
    }
    const auto& request = session.request;
    const bool commits = request.stage != request_stage::none &&
                         request.what.kind == statement_kind::commit;
    const bool writes =
        request.stage == request_stage::running && request.writes;
    return commits || writes ? client_activity::committing
                             : client_activity::busy;
}

/// Whether the servers can be told a statement to prepare.
bool proxy::can_prepare(const statement& what)
{
    return growth_of(what, {what.writes, what.argument}) <= what.room;
}

/// Looks up the prepared statement of an `execute`, and whether it writes.
/// @return why it can't run; nothing if it can
std::optional<session_error> proxy::resolve_execute(client_session& session)
{
    auto& what = session.request.what;
    const auto it = session.prepared.find(what.name);
    if (it == session.prepared.end())
    {
        return session_error::no_statement;
    }
    const auto growth = growth_of(what, it->second);
    if (growth > what.room || !it->second.fits_servers)
    {
        return session_error::too_large;
    }
    what.room -= growth;
    what.writes = it->second.writes;
    return std::nullopt;
}

} // namespace tanagerhoist
