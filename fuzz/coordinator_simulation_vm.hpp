#ifndef TANAGERHOIST_FUZZ_COORDINATOR_SIMULATION_VM_HPP
#define TANAGERHOIST_FUZZ_COORDINATOR_SIMULATION_VM_HPP

// One simulated VM: the leases, the coordinator's work and the writes of its
// clients, over the calls of the simulation.
#include "coordinator_simulation.hpp"
#include "tanagerhoist/core/structured_log.hpp"
#include "tanagerhoist/fleet/backoff.hpp"
#include "tanagerhoist/fleet/coordinator_lease.hpp"
#include "tanagerhoist/fleet/coordinator_messages.hpp"
#include "tanagerhoist/fleet/era_row_store.hpp"
#include "tanagerhoist/fleet/fleet_coordinator.hpp"
#include "tanagerhoist/fleet/group_monitor.hpp"
#include "tanagerhoist/fleet/lead_table.hpp"
#include "tanagerhoist/fleet/member_registration.hpp"
#include "tanagerhoist/fleet/told_revisions.hpp"
#include "tanagerhoist/session/primary_lease.hpp"

namespace tanagerhoist::fuzz
{

/// A VM's client of the simulated store.
class simulated_store : public row_store
{
public:
    simulated_store(coordinator_simulation& world, fiber_process& process,
                    std::size_t vm, milliseconds write_timeout)
        : world_(world),
          process_(process),
          vm_(vm),
          write_timeout_(write_timeout)
    {
    }

    store_answer read(const std::string& table,
                      const std::string& from) override;
    store_answer write(const store_transaction& transaction) override;
    store_answer watch(const std::string& table, std::uint64_t version,
                       milliseconds wait) override;

private:
    using performance = std::function<store_answer(standin::row_table&)>;
    store_answer call(const performance& perform, milliseconds timeout);

    coordinator_simulation& world_;
    fiber_process& process_;
    std::size_t vm_;
    milliseconds write_timeout_;
};

/// A store client for one use at a time.
struct store_connection
{
    store_connection(coordinator_simulation& world, fiber_process& process,
                     std::size_t vm, milliseconds write_timeout)
        : plain(world, process, vm, write_timeout)
    {
    }
    simulated_store plain;
    era_row_store rows{plain};
};

/// Passes log lines on to the simulation's trace.
class trace_log : public structured_log
{
public:
    trace_log(coordinator_simulation& world, std::string vm)
        : world_(world), vm_(std::move(vm))
    {
    }
    bool should_log(log_level) override { return true; }
    void write(log_level, std::string_view event,
               std::initializer_list<log_field> fields) override;

private:
    coordinator_simulation& world_;
    std::string vm_;
};

/// One life of a VM. Its glue between the fleet's classes is that of the
/// daemon's fleet agent.
class simulated_vm
{
public:
    simulated_vm(coordinator_simulation& world, std::size_t index);
    ~simulated_vm() { process_->end(); }
    simulated_vm(const simulated_vm&) = delete;
    simulated_vm& operator=(const simulated_vm&) = delete;

    static std::string name(std::size_t index);
    std::size_t index() const { return index_; }
    const std::shared_ptr<fiber_process>& process() const { return process_; }
    coordinator_simulation& world() { return world_; }

    bool holds_coordinator_lease() const { return lease_.holds(now()); }
    bool is_operating() const { return operations_ != 0; }
    bool is_operating_as_holder() const
    {
        return is_operating() && holds_coordinator_lease();
    }

    /// Releases the coordinator lease, then ends; calls `ended` at the end.
    void stop(std::function<void()> ended);

    void handle_report(const proto::VmReport& report);
    void handle_view(const proto::FleetView& view);

private:
    class operation;
    class promotion_call;

    moment now() const { return world_.now(); }
    std::optional<coordinator_term> term() const;
    bool is_current(const coordinator_term& term) const;
    bool is_coordinator() const { return term().has_value(); }

    void maintain_coordinator_lease();
    bool update_lease_if_due();
    void read_leads_in(const coordinator_term& term);
    void release_lease();
    void begin_term(const coordinator_term& term);
    void use_lost_leases();
    void monitor_group();
    void check_group(const coordinator_term& term);
    void run_operation(const coordinator_term& term,
                       std::function<void(failover_executor&)> body);
    void remove_expired_vms(const coordinator_term& term);
    bool is_primary_unused(const proto::GroupLead& lead,
                           std::uint64_t seal_version, moment sealed);

    void maintain_primary_lease();
    void register_self();
    bool write_member_row();
    void read_members();
    void apply_members(const store_answer& answer);
    void note_era(store_era era);

    bool read_leads(row_store& store);
    void apply_lead_row(const store_row& row);
    void use_lead(const proto::GroupLead& lead);
    store_answer write_lead(const coordinator_term& term,
                            const proto::GroupLead& lead,
                            std::uint64_t version);

    void report_regularly();
    void send_report();
    void send_view(const coordinator_term& term, const std::string& vm);
    void send_views(const coordinator_term& term);

    void write_regularly();
    void write_once(const std::string& server);
    void abort_statement();

    coordinator_simulation& world_;
    std::size_t index_;
    std::string name_;
    std::uint64_t life_;
    std::shared_ptr<fiber_process> process_;
    trace_log lines_;
    store_connection lease_store_;
    store_connection member_store_;
    store_connection lead_store_;
    member_registration registration_;
    coordinator_lease lease_;
    coordinator_messages messages_;
    fleet_coordinator coordinator_;
    group_monitor groups_;
    lead_table leads_;           ///< what the coordinator writes
    proto::GroupLead used_lead_; ///< what the sessions use
    fleet_members members_;
    primary_lease primary_lease_;

    bool registered_ = false;
    bool has_restarted_ = false;
    bool state_known_ = false;
    bool leaving_ = false;
    bool lease_in_use_ = false;
    bool members_read_running_ = false;
    unsigned promotion_requests_ = 0;
    unsigned operations_ = 0;
    std::uint64_t begun_token_ = 0;
    std::uint64_t leads_token_ = 0;
    moment confirm_from_{};
    moment members_requested_at_{};
    store_era era_ = 0;
    std::string coordinator_name_;
    std::uint64_t view_sequence_ = 0;
    told_revisions told_leads_;

    struct statement
    {
        pending_answer<simulated_group::commit_result> pending;
        bool aborted = false;
    };
    std::shared_ptr<statement> running_;
};

} // namespace tanagerhoist::fuzz

#endif
