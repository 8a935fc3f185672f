#ifndef TANAGERHOIST_STANDIN_FAILOVER_SIMULATION_HPP
#define TANAGERHOIST_STANDIN_FAILOVER_SIMULATION_HPP

#include "standin/database_group.hpp"
#include "standin/platform.hpp"
#include "standin/waiting_calls.hpp"
#include "tanagerhoist/decision/primary_watch.hpp"
#include "tanagerhoist/decision/write_confirmer.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace tanagerhoist::standin
{

/// Result of one attempt at a write.
enum class write_result
{
    confirmed,
    not_run, ///< rejected by the server, or no primary known
    unknown
};

/// Called when a write attempt ends; the log point is set if it is confirmed.
using write_handler =
    std::function<void(moment, write_result, const proto::LogPoint&)>;

/// One VM with its modules for failover decisions.
struct simulated_vm
{
    identity self;
    outbox out;
    std::unique_ptr<primary_watch> watch;
    std::unique_ptr<write_confirmer> confirmer;
    bool alive = true;
    bool frozen = false;
    std::uint64_t generation = 0;
    std::vector<std::function<void()>> backlog; ///< received while frozen
};

/// Simulates several VMs, database groups and the platform on one injected
/// clock. Messages are delayed and may be lost.
class failover_simulation
{
public:
    /// Delay of a message from one endpoint to another; empty: it is lost.
    using delay_rule = std::function<std::optional<microseconds>(
        const std::string& from, const std::string& to)>;

    /// @param vms names; the VM at index i starts as incarnation i + 1
    /// @param groups servers by database; the first of each is the primary
    failover_simulation(
        const std::vector<std::string>& vms,
        const std::map<std::string, std::vector<std::string>>& groups,
        delay_rule delay, primary_watch_options options = {});
    failover_simulation(const failover_simulation&) = delete;
    failover_simulation& operator=(const failover_simulation&) = delete;

    /// Called for every database call that a VM makes.
    using call_observer =
        std::function<void(const identity&, const proto::CallDatabase&)>;
    void observe_calls(call_observer observer)
    {
        observer_ = std::move(observer);
    }

    moment now() const { return now_; }
    void run_for(milliseconds duration);

    /// Makes one attempt at a write through `vm`.
    void write(const std::string& vm, const std::string& database,
               const std::string& request_id, const std::string& statement,
               milliseconds deadline, write_handler done);

    /// Drops messages between two endpoints, in both directions.
    void cut(const std::string& one, const std::string& other);
    /// Drops messages between `server` and all other endpoints.
    void isolate(const std::string& server);
    void heal();

    void kill_server(const std::string& server);
    void restart_server(const std::string& server);
    void kill_vm(const std::string& vm);
    /// Starts a new incarnation of `vm`.
    void restart_vm(const std::string& vm);
    /// Freezes or resumes `vm`. A frozen VM queues its inputs and processes
    /// them all when it resumes.
    void set_vm_frozen(const std::string& vm, bool frozen);

    simulated_vm& vm(const std::string& name) { return vms_.at(name); }
    const std::vector<std::string>& vms() const { return names_; }
    database_group& group(const std::string& database);
    platform& service() { return platform_; }
    const std::map<std::string, std::string>& servers() const
    {
        return database_of_;
    }

private:
    void start_vm(const std::string& name);
    void later(microseconds delay, std::function<void()> event);
    void send(const std::string& from, const std::string& to,
              std::function<void()> arrival);
    void input(const std::string& name, std::uint64_t generation,
               std::function<void(simulated_vm&)> take);
    void flush(simulated_vm& vm);
    void call_database(simulated_vm& vm, const proto::CallDatabase& call);
    void serve(const proto::CallDatabase& call,
               const waiting_calls::answer_handler& answer);
    void answer_waiting_calls();
    void call_platform(simulated_vm& vm, const proto::CallPlatform& call);
    void deliver(const proto::PeerMessage& message);
    void tick_all();
    void handle_execute_reply(const std::string& name,
                              const std::string& database,
                              const proto::PrimaryBelief& belief,
                              const proto::DatabaseReply* reply,
                              moment deadline, const write_handler& done);

    std::vector<std::string> names_;
    proto::Settings settings_;
    std::map<std::string, std::string> database_of_;
    std::map<std::string, std::unique_ptr<database_group>> groups_;
    platform platform_;
    delay_rule delay_;
    call_observer observer_;
    primary_watch_options options_;
    std::map<std::string, simulated_vm> vms_;
    std::uint64_t next_number_ = 1;
    moment now_{};
    moment next_tick_{};
    std::uint64_t sequence_ = 0;
    std::map<std::pair<moment, std::uint64_t>, std::function<void()>> events_;
    waiting_calls waiting_;
    std::set<std::pair<std::string, std::string>> cuts_;
};

} // namespace tanagerhoist::standin

#endif
