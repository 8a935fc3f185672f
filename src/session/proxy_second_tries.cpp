#include "tanagerhoist/session/answer_classes.hpp"
#include "tanagerhoist/session/proxy.hpp"
#include "tanagerhoist/session/second_try.hpp"

#include <vector>

// Reads that are tried elsewhere.
namespace tanagerhoist
{
/// Gives up reads whose servers have gone silent, for a try at another server.
void proxy::move_overdue_reads(moment now)
{
    std::vector<connection_id> overdue;
    for (const auto& [id, connection] : connections_)
    {
        if (connection.busy && is_overdue(now, id, connection))
        {
            overdue.push_back(id);
        }
    }
    for (const auto id : overdue)
    {
        const auto it = connections_.find(id);
        if (it != connections_.end())
        {
            move_read(now, id, it->second);
        }
    }
}

/// Whether a connection runs a read without an effect that another server may
/// answer sooner.
bool proxy::is_overdue(moment now, connection_id id,
                       const server_connection& connection) const
{
    const auto owner = sessions_.find(connection.owner);
    const auto server = servers_.find(connection.server);
    if (owner == sessions_.end() || server == servers_.end())
    {
        return false;
    }
    const auto& session = owner->second;
    const auto& request = session.request;
    const bool movable = request.stage == request_stage::running &&
                         request.connection == id && request.first &&
                         !request.writes && !request.needs_primary &&
                         !request.moved;
    const auto* times = known_times(answer_times_, session, class_of(session));
    if (!movable || times == nullptr)
    {
        return false;
    }
    const auto& state = server->second;
    return is_second_try_due(now,
                             {connection.sent, state.last_contact(),
                              request.expires, state.evidence.slowness(now)},
                             *times);
}

void proxy::move_read(moment now, connection_id id,
                      const server_connection& connection)
{
    const auto owner = connection.owner;
    const auto server = connection.server;
    auto& session = sessions_.at(owner);
    const bool added = session.request.avoid.insert(server).second;
    if (choose_for_read(now, session) == nullptr || !second_tries_.take())
    {
        if (added)
        {
            session.request.avoid.erase(server);
        }
        return;
    }
    log_statement(log_level::change, "second_try", now, session,
                  "no answer in its usual time");
    ++figures_.second_tries;
    record_outcome(now, server, server_outcome::no_answer);
    session.request.moved = true;
    close_connection(id); // a late answer must not meet another statement
    requeue(owner, session, server);
    dispatch(now, session.group);
}

} // namespace tanagerhoist
