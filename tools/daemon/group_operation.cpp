#include "group_operation.hpp"

#include "platform/failover_call.hpp"
#include "platform/server_control.hpp"

namespace tanagerhoist
{
namespace
{

constexpr milliseconds control_timeout{350};

} // namespace

fleet_agent::group_operation::group_operation(fleet_agent& agent,
                                              const coordinator_term& term)
    : agent_(agent), term_(term)
{
}

store_answer
fleet_agent::group_operation::write_lead(const proto::GroupLead& lead,
                                         std::uint64_t version)
{
    if (!is_coordinator())
    {
        store_answer nothing_written;
        nothing_written.result = store_result::refused;
        return nothing_written;
    }
    return agent_.write_lead(term_, lead, version);
}

bool fleet_agent::group_operation::is_primary_unused(
    const proto::GroupLead& lead, std::uint64_t seal_version, moment sealed)
{
    return agent_.is_primary_unused(lead, seal_version, sealed);
}

std::vector<backend_server>
fleet_agent::group_operation::servers(const std::string& group)
{
    return agent_.servers(group);
}

unsigned
fleet_agent::group_operation::synchronous_replicas(const std::string& group)
{
    const auto* settings = agent_.proxy_.settings();
    const auto it = settings->groups.find(group);
    return it == settings->groups.end() ? 0 : it->second.synchronous_replicas;
}

std::optional<server_role>
fleet_agent::group_operation::query_server(const backend_server& server,
                                           const std::string& line)
{
    if (server.is_closed(agent_.now_()))
    {
        return std::nullopt;
    }
    const auto* settings = agent_.proxy_.settings();
    const auto workspace = settings->workspaces.empty()
                               ? std::string()
                               : settings->workspaces.begin()->first;
    platform::server_control control(agent_.context_, server, workspace);
    const auto status = control.exchange(line, control_timeout);
    if (!status)
    {
        return std::nullopt;
    }
    return server_role{status->primary, status->term, status->received};
}

std::optional<server_role>
fleet_agent::group_operation::role(const backend_server& server)
{
    return query_server(server, platform::status_line());
}

/// A demotion that arrives late changes no new primary, whose term it doesn't
/// exceed; an old one that was kept is found by verify_primary.
std::optional<server_role>
fleet_agent::group_operation::demote(const backend_server& server,
                                     std::uint64_t term)
{
    if (!is_coordinator())
    {
        return std::nullopt;
    }
    return query_server(server, platform::demote_line(term));
}

void fleet_agent::group_operation::confirm_log_end(const proto::GroupLead& lead,
                                                   const log_position& end,
                                                   moment confirmed)
{
    if (is_coordinator())
    {
        agent_.coordinator_.confirm_log_end(lead, end, confirmed);
    }
}

promotion_result
fleet_agent::group_operation::request_promotion(const std::string& group,
                                                const std::string& server)
{
    if (!is_coordinator())
    {
        return promotion_result::term_over;
    }
    ++agent_.promotion_requests_; // a stop waits for it
    platform::failover_call call(agent_.context_,
                                 agent_.promotion_address_.address,
                                 agent_.promotion_address_.port);
    const auto result = order_promotion(
        call, agent_.lease_, term_,
        {group, server, agent_.settings_.vm().name(), 0}, agent_.lines_);
    --agent_.promotion_requests_;
    return result;
}

} // namespace tanagerhoist
