#ifndef TANAGERHOIST_STANDIN_LIMITED_FLEET_HPP
#define TANAGERHOIST_STANDIN_LIMITED_FLEET_HPP

#include "tanagerhoist/fleet/allowance_pool.hpp"
#include "tanagerhoist/fleet/fleet_coordinator.hpp"
#include "tanagerhoist/session/workspace_limits.hpp"

#include <array>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace tanagerhoist::standin
{

/// VMs that admit operations of one workspace, on an injected clock. Their
/// coordinator may be lost, and some of them may be cut off from it, from its
/// successor and from its deputies.
class limited_fleet
{
public:
    /// Places of the VMs that are deputies.
    static constexpr std::array<std::size_t, 2> deputies{0, 1};

    limited_fleet(std::size_t vms, const session_workspace& limits,
                  unsigned seed);

    /// Lets a VM become coordinator that knows nothing of the former one.
    void take_over();

    /// The coordinator's process ends, or none of the VMs reach it.
    void lose_coordinator() { has_coordinator_ = false; }

    bool has_coordinator() const { return has_coordinator_; }

    /// Cuts the first VMs off from the coordinator.
    void cut_off(std::size_t vms);

    /// Lets the coordinator's lease end after a while. From now on only the
    /// VMs that are cut off from its successor reach it.
    void end_term_in(milliseconds time);

    /// The former coordinator stops granting.
    void end_former();

    /// Lets all VMs reach the new coordinator.
    void reconnect();

    /// Lets the former coordinator take the lease again.
    void retake();

    /// Coordinators name two deputies from now on.
    void use_deputies() { names_deputies_ = true; }

    /// Cuts some VMs off from a deputy.
    /// @param every one of so many; 1: all
    void cut_from_deputy(std::size_t deputy, std::size_t every);

    /// Part of the messages to deputies, and of their answers, that is lost; as
    /// many arrive twice.
    void lose_messages(double part) { lost_part_ = part; }

    /// Ends a VM's process and starts a new one.
    void restart(std::size_t vm);

    /// Stops a VM for a time; what clients send it meanwhile is late.
    void freeze(std::size_t vm, milliseconds time);

    /// Changes the workspace's limit at all VMs at once.
    void use_limits(const session_workspace& limits);

    /// @param asked operations per second over all VMs
    void run(milliseconds time, double asked);

    /// Most operations admitted in any window, over what the limits allow. A
    /// lower limit counts one window after it was set.
    double worst_window() const { return worst_; }

    std::size_t admitted() const { return admitted_count_; }
    std::size_t refused() const { return refused_; }

private:
    struct vm
    {
        std::string name;
        workspace_limits limits;
        allowance_pool pool{limit_tolerance{}}; ///< as a deputy
        std::deque<moment> held;                ///< when they arrived
        std::uint64_t life = 1;
        std::uint64_t sequence = 0;
        std::uint64_t token = 0; ///< of the newest coordinator heard
        bool cut = false;        ///< from the new coordinator
        bool reaches_former = false;
        std::array<bool, deputies.size()> misses{}; ///< deputies
        moment frozen_until{};
    };

    void admit(std::size_t operations);
    void ask(vm& at);
    void talk(vm& at, milliseconds turn);
    operation_grantor* grantor_of(const vm& at);
    void admit_held(vm& at);
    void report(vm& at);
    void request(vm& at);
    void use(vm& at, const operation_grantor& grantor,
             const workspace_limits::grants& given);
    void hand_over(vm& at);
    bool is_lost();
    bool is_frozen(const vm& at) const { return now_ < at.frozen_until; }

    std::minstd_rand random_;
    session_settings settings_;
    session_workspace counted_; ///< limit that windows are compared to
    moment counted_until_{};    ///< then the one in the settings
    moment now_{std::chrono::hours(1)};
    std::vector<vm> vms_;
    fleet_coordinator coordinator_{limit_tolerance{}, false};
    std::optional<operation_grantor> former_; ///< its lease ends or has ended
    bool has_coordinator_ = false;
    bool names_deputies_ = false;
    double lost_part_ = 0;
    std::uint64_t token_ = 1;
    std::deque<moment> window_; ///< operations admitted in the last window
    double worst_ = 0;
    std::size_t admitted_count_ = 0;
    std::size_t refused_ = 0;
};

} // namespace tanagerhoist::standin

#endif
