#ifndef TANAGERHOIST_TOOLS_DAEMON_GROUP_OPERATION_HPP
#define TANAGERHOIST_TOOLS_DAEMON_GROUP_OPERATION_HPP

#include "fleet_agent.hpp"

#include <optional>
#include <string>
#include <vector>

namespace tanagerhoist
{

/// A change of one group's lead, in the coordinator's term in which it was
/// begun. Once that term is over it changes nothing any more, also if this VM
/// is the coordinator again.
class fleet_agent::group_operation : public failover_port
{
public:
    /// @param agent must outlive this object
    group_operation(fleet_agent& agent, const coordinator_term& term);

    moment now() override { return agent_.now_(); }
    void pause(milliseconds time) override { agent_.pause(time); }
    bool is_coordinator() override { return agent_.is_current(term_); }
    bool may_order() override { return agent_.lease_.may_order(term_); }
    store_era era() override { return agent_.era_; }
    store_answer write_lead(const proto::GroupLead& lead,
                            std::uint64_t version) override;
    bool is_primary_unused(const proto::GroupLead& lead,
                           std::uint64_t seal_version, moment sealed) override;
    std::vector<backend_server> servers(const std::string& group) override;
    unsigned synchronous_replicas(const std::string& group) override;
    std::optional<server_role> role(const backend_server& server) override;
    std::optional<server_role> demote(const backend_server& server,
                                      std::uint64_t term) override;
    void confirm_log_end(const proto::GroupLead& lead, const log_position& end,
                         moment confirmed) override;
    promotion_result request_promotion(const std::string& group,
                                       const std::string& server) override;

private:
    std::optional<server_role> query_server(const backend_server& server,
                                            const std::string& line);

    fleet_agent& agent_;
    coordinator_term term_;
};

} // namespace tanagerhoist

#endif
