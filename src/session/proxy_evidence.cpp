#include "tanagerhoist/session/answer_classes.hpp"
#include "tanagerhoist/session/proxy.hpp"
#include "tanagerhoist/session/retry_spread.hpp"

#include <algorithm>

// What is known of servers' answers, from this VM and from all.
namespace tanagerhoist
{
namespace
{

/// Part of the answers that comes within the usual time of a kind, and that
/// time as long as too few answers are known.
constexpr double usual_part = 0.5;
constexpr double default_usual_us = 25000;

/// What the coordinator told is used for this long.
constexpr milliseconds deviation_lifetime{2500};

constexpr double permille = 1000;
constexpr double percent = 100;

} // namespace

statement_class proxy::class_of(const client_session& session)
{
    const auto& what = session.request.what;
    const bool writes = what.writes || what.kind == statement_kind::commit;
    return {session.database, writes};
}

/// Records how long a client's statement took at its server.
void proxy::record_answer(moment now, const server_connection& connection,
                          const client_session& session)
{
    auto* server = find_server(connection.server);
    if (server == nullptr)
    {
        return;
    }
    const auto took = now - connection.sent;
    server->add_response_time(now, took);
    record_outcome(now, connection.server, server_outcome::answered);
    auto& times = answer_times_[class_of(session)];
    if (const auto usual = times.quantile(usual_part))
    {
        const double slowness = static_cast<double>(took.count()) /
                                static_cast<double>(usual->count());
        server->evidence.add_slowness(now, slowness);
        answer_news_.add_slowness(connection.server, slowness);
    }
    times.add(took);
    answer_times_[pooled_class(session, class_of(session).writes)].add(took);
}

void proxy::record_outcome(moment now, const std::string& server,
                           server_outcome outcome)
{
    if (auto* state = find_server(server))
    {
        state->evidence.add(now, outcome);
        answer_news_.add(server, outcome);
    }
}

void proxy::use_standings(moment now, const server_standing_list& told)
{
    for (auto& [id, server] : servers_)
    {
        server.deviation.reset();
    }
    for (const auto& standing : told)
    {
        if (auto* server = find_server(standing.server()))
        {
            server->deviation = server_deviation{
                static_cast<double>(standing.failing_permille()) / permille,
                static_cast<double>(standing.slowness_percent()) / percent,
                standing.share_permille() == 0
                    ? 1
                    : static_cast<double>(standing.share_permille()) / permille,
                now};
        }
    }
}

bool proxy::is_deviation_told(moment now, const server_state& server)
{
    return server.deviation &&
           now < server.deviation->told + deviation_lifetime;
}

/// Expected share of statements that fail at a server, as this VM or all VMs
/// saw it.
double proxy::failing_share(moment now, const server_state& server)
{
    const double own = server.evidence.failing_share(now);
    return is_deviation_told(now, server)
               ? std::max(own, server.deviation->failing_share)
               : own;
}

/// Expected answer time of a session's statement at a server, in microseconds.
double proxy::expected_answer_us(moment now, const client_session& session,
                                 const server_state& server) const
{
    const auto times = answer_times_.find(class_of(session));
    const auto usual = times == answer_times_.end()
                           ? std::nullopt
                           : times->second.quantile(usual_part);
    return (usual ? static_cast<double>(usual->count()) : default_usual_us) *
           server.evidence.slowness(now);
}

/// Whether a statement passes a slow server over, or one that gets less than
/// usual after a start. All VMs are told the same, so each leaves it the part
/// of its statements that fits the slowness: if all avoided it at once, the
/// others would be the slow ones next.
bool proxy::is_held_back(moment now, const session_request& request,
                         const server_state& server)
{
    if (!is_deviation_told(now, server))
    {
        return false;
    }
    const auto& told = *server.deviation;
    return retry_part(request.id + server.server.id) >=
           std::min(told.share, 1 / std::max(1.0, told.slowness));
}

placement_candidate proxy::candidate_for(moment now,
                                         const client_session& session,
                                         const server_state& server) const
{
    const auto& id = server.server.id;
    placement_candidate made;
    made.response_us = expected_answer_us(now, session, server);
    made.mean_response_us = server.response_us(now);
    made.failing_share = failing_share(now, server);
    made.running = server.running;
    made.slots = server.server.slots;
    made.near = server.server.data_centre == data_centre_;
    made.has_connection = idle_connection(now, id, session) != 0;
    made.keeps_connections = !budget_at(server).idle_time;
    made.held_back = is_held_back(now, session.request, server);
    made.spread = retry_part(id + session.request.id);
    return made;
}

} // namespace tanagerhoist
