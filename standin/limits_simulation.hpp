#ifndef TANAGERHOIST_STANDIN_LIMITS_SIMULATION_HPP
#define TANAGERHOIST_STANDIN_LIMITS_SIMULATION_HPP

#include "standin/platform.hpp"
#include "tanagerhoist/decision/incarnation_allocator.hpp"
#include "tanagerhoist/decision/limiter.hpp"
#include "tanagerhoist/decision/membership.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace tanagerhoist::standin
{

/// Creates the policy of each limiter in a simulation.
using policy_factory = std::function<std::unique_ptr<slice_policy>()>;

struct limits_simulation_options
{
    std::size_t vms = 7;
    std::size_t data_centres = 3;
    microseconds across{1000}; ///< one way between data centres
    microseconds inside{200};  ///< one way within a data centre
    milliseconds hold{100};    ///< maximum wait of a request for allowance
    std::uint64_t seed = 1;
    policy_factory policy = [] { return std::make_unique<demand_policy>(); };
    proto::Settings settings;
    limiter_options limits;
};

/// Outcomes of the requests of one workspace.
struct workspace_counts
{
    std::uint64_t offered = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    /// Admitted by a single token bucket with the full rate and burst.
    std::uint64_t reference = 0;
    std::uint64_t max_wait_us = 0;
};

/// Simulates the limiters of several VMs, the platform and a faulty network on
/// one clock.
class limits_simulation
{
public:
    explicit limits_simulation(limits_simulation_options options);
    ~limits_simulation();
    limits_simulation(const limits_simulation&) = delete;
    limits_simulation& operator=(const limits_simulation&) = delete;

    /// Runs all events of the next `span`.
    void advance(microseconds span);

    /// Submits a request to a VM now; ignored if the VM is stopped or frozen.
    void request(std::size_t vm, const std::string& workspace);

    void kill(std::size_t vm);   ///< stays on the platform's list until `drop`
    void start(std::size_t vm);  ///< starts a new process and lists the VM
    void drop(std::size_t vm);   ///< removes the VM from the platform's list
    void relist(std::size_t vm); ///< adds it to the list again
    void freeze(std::size_t vm); ///< queues its inputs until `thaw`
    void thaw(std::size_t vm);
    void cut_platform(std::size_t vm, bool cut);
    void cut_peers(std::size_t vm, bool cut);
    void use_settings(proto::Settings settings);
    void leave(std::size_t vm);
    void want_connections(std::size_t vm, const std::string& server,
                          std::uint64_t wanted, std::uint64_t in_use);
    /// Sets the percentages of peer messages that are lost and duplicated. If
    /// either is not 0, the network also reorders messages.
    void set_message_faults(unsigned lost, unsigned repeated);

    tanagerhoist::standin::platform& platform() { return platform_; }
    limiter& limits(std::size_t vm);
    membership& members(std::size_t vm);
    moment now() const { return now_; }
    std::size_t size() const { return options_.vms; }
    bool running(std::size_t vm) const;

    /// Sum of the usable parts of all running VMs and the free parts in the
    /// row.
    std::uint64_t usable_and_free_parts(const std::string& resource) const;

    /// Maximum number of admitted requests above rate x window over all windows
    /// so far, in millionths of a request. Must not exceed the burst.
    std::int64_t max_rate_excess(const std::string& workspace) const;

    const std::map<std::string, workspace_counts>& counts() const
    {
        return counts_;
    }
    std::uint64_t messages() const { return messages_; }
    std::uint64_t bytes() const { return bytes_; }
    std::uint64_t platform_calls() const { return platform_calls_; }
    void reset_counts();

private:
    struct waiting_request
    {
        std::string workspace;
        moment since;
    };
    struct process;
    /// Tracks the window with the largest excess over the rate.
    struct rate_window
    {
        std::int64_t rate = 0; ///< requests per second
        std::int64_t level = 0;
        std::int64_t largest = 0;
        moment last{};
    };

    void schedule_at(moment when, std::function<void()> run);
    void tick(std::uint64_t id);
    void input(std::uint64_t id,
               const std::function<void(process&, moment)>& run);
    void flush(process& from);
    void send(process& from, const proto::PeerMessage& message);
    void deliver(std::uint64_t to, const proto::PeerMessage& message);
    void call(process& from, const proto::CallPlatform& call);
    void retry_waiting_requests(process& at);
    void admit(const std::string& workspace, moment since);
    microseconds delay(const std::string& from, const std::string& to);
    process* find(std::uint64_t id);
    process* find(const std::string& vm);
    std::string name(std::size_t vm) const;
    std::string data_centre_of(std::size_t vm) const;
    bool chance(unsigned percent);

    limits_simulation_options options_;
    std::unique_ptr<settings_view> settings_;
    std::vector<std::unique_ptr<settings_view>> old_settings_;
    tanagerhoist::standin::platform platform_;
    std::mt19937_64 random_;
    moment now_{};
    std::multimap<moment, std::function<void()>> events_;
    std::uint64_t next_id_ = 1;
    std::map<std::uint64_t, std::unique_ptr<process>> processes_;
    std::set<std::string> cut_platform_;
    std::set<std::string> cut_peers_;
    unsigned lost_ = 0;
    unsigned repeated_ = 0;
    std::map<std::string, workspace_counts> counts_;
    std::map<std::string, rate_window> windows_;
    std::map<std::string, token_bucket> reference_;
    std::uint64_t messages_ = 0;
    std::uint64_t bytes_ = 0;
    std::uint64_t platform_calls_ = 0;
};

} // namespace tanagerhoist::standin

#endif
