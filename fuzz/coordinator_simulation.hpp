#ifndef TANAGERHOIST_FUZZ_COORDINATOR_SIMULATION_HPP
#define TANAGERHOIST_FUZZ_COORDINATOR_SIMULATION_HPP

// A store, the servers of one group and the platform, used by several VMs on
// one injected clock. Each call can be delayed, lost, or performed late.
#include "coordinator_simulation_fibers.hpp"
#include "standin/row_table.hpp"
#include "tanagerhoist/fleet/failover_executor.hpp"
#include "tanagerhoist/fleet/promotion_order.hpp"
#include "tanagerhoist/fleet/row_store.hpp"
#include "tanagerhoist/session/backend_server.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tanagerhoist::fuzz
{

constexpr std::size_t vm_count = 3;
constexpr std::size_t server_count = 3;
constexpr const char* group_name = "g";

/// What a call is made to.
enum class call_target
{
    store,
    server,
    platform,
    statement ///< a write of a client
};
constexpr std::size_t call_targets = 4;

/// What becomes of a call.
enum class call_fate
{
    answered,
    answered_late,
    performed_late,            ///< and answered, if the caller still waits
    performed_late_unanswered, ///< seconds after the caller gave up
    lost_before,
    lost_after,
    connected_late,
    frozen_while_connecting ///< the caller, for the time of the delay
};
constexpr std::size_t call_fates = 8;

struct call_plan
{
    call_fate fate = call_fate::answered;
    milliseconds delay{0};
    std::size_t rotation = 0; ///< see fiber_process::freeze()
};

inline bool is_performed(const call_plan& plan)
{
    return plan.fate != call_fate::lost_before;
}

inline bool is_answered(const call_plan& plan)
{
    return is_performed(plan) && plan.fate != call_fate::lost_after &&
           plan.fate != call_fate::performed_late_unanswered;
}

/// By how much a call is performed later than usual.
inline milliseconds performance_delay(const call_plan& plan)
{
    const bool late = plan.fate == call_fate::performed_late ||
                      plan.fate == call_fate::performed_late_unanswered;
    return late ? plan.delay : milliseconds(0);
}

/// How long its connection takes longer than usual.
inline milliseconds connection_delay(const call_plan& plan)
{
    return plan.fate == call_fate::connected_late ? plan.delay
                                                  : milliseconds(0);
}

/// By how much its answer comes later than usual.
inline milliseconds answer_delay(const call_plan& plan)
{
    return plan.fate == call_fate::answered_late ? plan.delay : milliseconds(0);
}

/// Switches of the model that show what a check finds.
struct model_options
{
    /// A VM counts its primary lease from when its write is sent, instead of
    /// when the time in its row is taken.
    bool lease_counts_from_sending = false;
    /// Writes on their way when the store comes back older are still performed.
    bool late_writes_survive_restore = false;
    /// The store may come back from before the group's first lead.
    bool restores_to_empty_store = false;
    /// A store that comes back older gives out no version again.
    bool versions_are_unique = false;
    bool store_never_restored = false;
    std::ostream* trace = nullptr;
};

/// The first broken rule of a run.
class rule_checker
{
public:
    void expect(bool condition, const std::string& rule)
    {
        if (!condition && broken_.empty())
        {
            broken_ = rule;
        }
    }
    const std::string& broken() const { return broken_; }

private:
    std::string broken_;
};

/// Servers of the group. A commit is acknowledged once a replica has it; one
/// at a primary that has been replaced is acknowledged in any case.
class simulated_group
{
public:
    struct server
    {
        bool up = true;
        bool isolated = false; ///< from the other servers
        bool primary = false;
        bool draining = false;
        std::uint64_t term = 1;
        std::vector<std::pair<std::uint64_t, std::string>> log;
        std::set<std::size_t> unreachable_for; ///< VMs
        std::uint64_t demotion_check = 0;
    };

    enum class commit_result
    {
        refused,
        acknowledged,
        acknowledged_though_replaced
    };

    simulated_group();

    static std::string name(std::size_t index);
    static std::size_t index_of(const std::string& id);

    server& at(std::size_t index) { return servers_.at(index); }
    const server& at(std::size_t index) const { return servers_.at(index); }

    /// The running primary of the newest term, if any.
    std::optional<std::size_t> leader() const;
    std::uint64_t newest_term() const { return newest_term_; }

    /// Whether all servers run, reach each other and have the same log.
    bool is_whole() const;

    bool reaches(std::size_t vm, std::size_t index) const;
    server_role role(std::size_t index) const;
    commit_result commit(std::size_t index, const std::string& write);
    void demote(std::size_t index, std::uint64_t term);
    void promote(std::size_t index);
    void crash(std::size_t index);
    void start(std::size_t index);
    void set_isolated(std::size_t index, bool isolated);

    /// A replaced primary that reaches the newest one steps down.
    void step_down(std::size_t index);
    server_list listed() const;

private:
    void replicate();
    bool is_replaced(const server& s) const { return s.term < newest_term_; }

    std::array<server, server_count> servers_;
    std::uint64_t newest_term_ = 1;
};

/// How long a replaced primary that reaches the new one keeps its role.
constexpr milliseconds self_demotion_time{1000};

class simulated_vm;

/// All that the VMs share, the VMs, and the rules that are checked.
class coordinator_simulation
{
public:
    coordinator_simulation(std::uint64_t seed, model_options options);
    ~coordinator_simulation();

    void run_for(milliseconds time);
    /// Runs until a failover or confirmation begins, at most for some time.
    void run_until_operation(milliseconds most);

    /// Plans the next call of a VM to a target.
    void plan(std::size_t vm, call_target target, call_plan plan);
    call_plan take_plan(std::size_t vm, call_target target);

    void freeze(std::size_t vm, milliseconds time, std::size_t rotation);
    void kill(std::size_t vm, milliseconds until_start);
    void stop(std::size_t vm); ///< releases its leases, then starts again
    void silence_store(milliseconds time);
    void turn_away(std::size_t vm, milliseconds time);
    /// Cuts a VM off from the store and the other VMs.
    void cut_off(std::size_t vm, milliseconds time);
    void copy_store() { table_.take_copy(); }
    void restore_store();
    void crash(std::size_t server, milliseconds time);
    void darken(std::size_t server, std::size_t vms, bool isolate,
                milliseconds time);
    void drain(std::size_t server, milliseconds time);

    /// The VM that holds the coordinator lease, else the first one.
    std::size_t holder() const;

    /// Ends all faults and checks what has to hold then.
    void finish();

    const std::string& broken_rule() const { return rules_.broken(); }
    std::size_t writes_acknowledged() const { return acknowledged_.size(); }
    std::size_t promotions() const { return promotions_; }
    bool ended_without_primary() const { return ended_without_primary_; }
    std::size_t terms() const { return holder_by_token_.size(); }

    // Used by the VMs.
    event_queue& events() { return events_; }
    moment now() const { return events_.now(); }
    simulated_group& group() { return group_; }
    standin::row_table& table() { return table_; }
    const model_options& options() const { return options_; }
    bool is_store_silent() const { return now() < store_silent_until_; }
    bool is_cut_off(std::size_t vm) const;
    bool turns_away(std::size_t vm) const;
    std::uint64_t restores() const { return restores_; }
    milliseconds store_clock() const;
    microseconds short_delay();
    promotion_result order_arrives(const promotion_request& request);
    void send(std::size_t from, const std::string& to,
              std::function<void(simulated_vm&)> deliver);
    std::string next_write() { return "w" + std::to_string(++writes_); }
    void write_acknowledged(const std::string& write, std::size_t vm,
                            std::size_t server, bool replaced);
    void trace(const std::string& line);
    std::uint64_t next_life() { return ++lives_; }

private:
    void start_vm(std::size_t vm);
    void check_holders();
    void check_alternation(const std::string& holder);
    void promote(std::size_t server);
    void step(moment until);
    bool is_operating() const;
    bool is_anyone_cut_off() const;

    model_options options_;
    std::uint64_t random_;
    event_queue events_;
    rule_checker rules_;
    standin::row_table table_;
    simulated_group group_;
    moment store_silent_until_{};
    std::array<moment, vm_count> turned_away_until_{};
    std::array<moment, vm_count> cut_off_until_{};
    std::uint64_t restores_ = 0;
    std::array<std::array<std::vector<call_plan>, call_targets>, vm_count>
        plans_;
    bool promotion_runs_ = false;
    std::map<std::uint64_t, std::string> holder_by_token_; ///< of orders
    std::uint64_t newest_token_ = 0;
    struct order
    {
        std::string holder;
        moment at{};
    };
    order last_order_;
    std::map<std::string, moment> orders_; ///< each holder's last one
    moment stopped_at_{};                  ///< the last planned stop of a VM
    std::size_t promotions_ = 0;
    std::uint64_t writes_ = 0;
    std::set<std::string> acknowledged_;
    std::uint64_t lives_ = 0;
    bool ended_without_primary_ = false;
    std::array<std::unique_ptr<simulated_vm>, vm_count> vms_;
};

} // namespace tanagerhoist::fuzz

#endif
