#ifndef TANAGERHOIST_FUZZ_COORDINATOR_SIMULATION_OPERATION_HPP
#define TANAGERHOIST_FUZZ_COORDINATOR_SIMULATION_OPERATION_HPP

#include "coordinator_simulation_vm.hpp"

namespace tanagerhoist::fuzz
{

/// What a failover of a simulated VM needs, in the name of a term.
class simulated_vm::operation : public failover_port
{
public:
    operation(simulated_vm& vm, const coordinator_term& term)
        : vm_(vm), term_(term)
    {
    }

    moment now() override { return vm_.now(); }
    void pause(milliseconds time) override { vm_.process_->pause(time); }
    bool is_coordinator() override { return vm_.is_current(term_); }
    bool may_order() override { return vm_.lease_.may_order(term_); }
    store_era era() override { return vm_.era_; }
    store_answer write_lead(const proto::GroupLead& lead,
                            std::uint64_t version) override;
    bool is_primary_unused(const proto::GroupLead& lead,
                           std::uint64_t seal_version, moment sealed) override
    {
        return vm_.is_primary_unused(lead, seal_version, sealed);
    }
    std::vector<backend_server> servers(const std::string& group) override;
    unsigned synchronous_replicas(const std::string&) override { return 1; }
    std::optional<server_role> role(const backend_server& server) override;
    std::optional<server_role> demote(const backend_server& server,
                                      std::uint64_t term) override;
    void confirm_log_end(const proto::GroupLead& lead, const log_position& end,
                         moment confirmed) override;
    promotion_result request_promotion(const std::string& group,
                                       const std::string& server) override;

private:
    /// @param demoted_term 0: only asks for the role
    std::optional<server_role> query(const backend_server& server,
                                     std::uint64_t demoted_term);

    simulated_vm& vm_;
    coordinator_term term_;
};

/// One connection to the simulated platform.
class simulated_vm::promotion_call : public promotion_connection
{
public:
    explicit promotion_call(simulated_vm& vm)
        : vm_(vm), plan_(vm.world_.take_plan(vm.index_, call_target::platform))
    {
    }

    bool open() override;
    promotion_result send(const promotion_request& request,
                          const promotion_limits& limits) override;

private:
    simulated_vm& vm_;
    call_plan plan_;
};

} // namespace tanagerhoist::fuzz

#endif
