#ifndef TANAGERHOIST_STANDIN_FLEET_HPP
#define TANAGERHOIST_STANDIN_FLEET_HPP

#include "standin/database_group.hpp"
#include "standin/platform.hpp"
#include "standin/waiting_calls.hpp"
#include "tanagerhoist/decision/node.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace tanagerhoist::standin
{

/// Members of a simulated fleet, and its delays.
struct fleet_options
{
    std::map<std::string, std::string> vms; ///< data centre by VM
    proto::Settings settings;               ///< published before the VMs start
    microseconds inside{200};               ///< one way within a data centre
    microseconds across{1000};      ///< one way between two data centres
    microseconds to_clients{3000};  ///< one way
    microseconds to_platform{1000}; ///< one way
    milliseconds connect_time{12};
    microseconds service_time{2000}; ///< per statement
    milliseconds replica_lag{1};
    std::uint64_t seed = 1;
    node_options node;
};

/// Faults injected into messages between VMs.
struct peer_faults
{
    unsigned lost_percent = 0;
    unsigned repeated_percent = 0;
    microseconds jitter{0}; ///< maximum extra delay; reorders messages
};

/// Simulates VMs, database groups and the platform on one injected clock.
/// Performs the actions of each VM's decision layer and passes the results back
/// as inputs.
class fleet
{
public:
    /// Called with the reply, or with null if the connection was lost.
    using answer_handler = std::function<void(const proto::CallerReply*)>;
    using action_observer =
        std::function<void(const std::string& vm, const proto::Action&)>;
    using event_observer = std::function<void(const proto::Event&)>;

    explicit fleet(fleet_options options);
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    moment now() const { return now_; }
    void run_for(microseconds duration);
    /// Schedules `event` to run after `delay`.
    void later(microseconds delay, std::function<void()> event);
    void observe(action_observer actions, event_observer events);

    /// Opens a connection of a new caller to `vm`; returns the caller's id.
    std::uint64_t connect(const std::string& vm);
    bool connected(std::uint64_t caller) const;
    void disconnect_caller(std::uint64_t caller);
    void request(std::uint64_t caller, const std::string& key,
                 const proto::CallerRequest& request, answer_handler done);

    void start(const std::string& vm);
    void kill(const std::string& vm);
    void freeze(const std::string& vm);
    void resume(const std::string& vm);
    void drain(const std::string& vm);
    bool running(const std::string& vm) const;
    bool frozen(const std::string& vm) const;

    /// Drops messages between two endpoints, in both directions. The platform's
    /// endpoint is named "platform".
    void cut(const std::string& one, const std::string& other);
    void heal();
    void kill_server(const std::string& server);
    void restart_server(const std::string& server);
    void set_peer_faults(const peer_faults& faults) { faults_ = faults; }

    platform& service() { return platform_; }
    database_group& group(const std::string& database);
    const node* decisions(const std::string& vm) const;
    /// Connections of all VMs to `server`, including those being opened.
    std::uint64_t connections(const std::string& server) const;
    std::size_t unanswered(const std::string& vm) const;
    std::uint64_t settings_version(const std::string& vm) const;

    /// Violations of rules that hold for every VM: answer each call once, run
    /// one statement at a time on a connection, and finish a drain only after
    /// all calls are answered.
    const std::vector<std::string>& violations() const { return violations_; }

private:
    struct server_connection
    {
        std::string server;
        bool open = false;
    };
    struct call
    {
        std::uint64_t caller = 0;
        std::string request_id;
        answer_handler done;
        bool arrived = false;
    };
    struct fleet_vm
    {
        std::string name;
        std::unique_ptr<node> decisions;
        std::unique_ptr<settings_view> settings;
        std::uint64_t generation = 0; ///< unique over all starts of all VMs
        moment started{};
        bool frozen = false;
        bool finished = false;
        std::vector<std::function<void()>> backlog; ///< received while frozen
        std::map<std::uint64_t, server_connection> server_connections;
        /// Connection of each database call in flight, by tag.
        std::map<std::uint64_t, std::uint64_t> in_flight;
        std::set<std::uint64_t> platform_calls_in_flight;
        std::map<std::uint64_t, call> calls;
    };
    struct caller
    {
        std::string vm;
        std::uint64_t generation = 0;
        std::size_t outstanding = 0;
        bool ending = false;
        bool open = true;
    };
    struct server_state
    {
        std::string database;
        std::string data_centre;
        std::uint64_t slots = 1;
        std::uint64_t running = 0;
        std::uint64_t generation = 0;
        std::deque<std::function<void()>> waiting;
    };

    void tick(const std::string& vm, std::uint64_t generation);
    void input(const std::string& vm, std::uint64_t generation,
               proto::Input input);
    void perform(fleet_vm& vm, const proto::Action& action);
    void stop(fleet_vm& vm);
    microseconds delay(const std::string& from, const std::string& to) const;
    void send(const std::string& from, const std::string& to,
              std::function<void()> arrival);

    void arrive(std::uint64_t caller, std::uint64_t call,
                const std::string& key, const proto::CallerRequest& request);
    void answer_caller(fleet_vm& vm, const proto::AnswerCaller& answer);
    void end_caller(std::uint64_t id);

    void connect_to_server(fleet_vm& vm, const proto::OpenConnection& open);
    void drop_server_connection(fleet_vm& vm, std::uint64_t connection,
                                bool tell);
    void call_database(fleet_vm& vm, const proto::CallDatabase& call);
    void fail_call(fleet_vm& vm, std::uint64_t tag, bool sent);
    void serve(const std::string& server, const proto::DatabaseCall& call,
               std::uint64_t connection,
               const waiting_calls::answer_handler& answer);
    void start_statements(const std::string& server);
    void answer_waiting_calls();
    void call_platform(fleet_vm& vm, const proto::CallPlatform& call);
    void send_peer(const proto::PeerMessage& message);
    bool chance(unsigned percent) { return random_() % 100 < percent; }

    fleet_options options_;
    peer_faults faults_;
    std::mt19937_64 random_;
    moment now_{};
    moment next_step_{};
    std::uint64_t sequence_ = 0;
    std::uint64_t next_generation_ = 1;
    std::uint64_t next_handle_ = 1;
    std::map<std::pair<moment, std::uint64_t>, std::function<void()>> events_;
    platform platform_;
    std::map<std::string, std::unique_ptr<database_group>> groups_;
    std::map<std::string, server_state> servers_;
    std::map<std::string, fleet_vm> vms_;
    std::map<std::uint64_t, caller> callers_;
    waiting_calls waiting_;
    std::set<std::pair<std::string, std::string>> cuts_;
    action_observer on_action_;
    event_observer on_event_;
    std::vector<std::string> violations_;
};

/// Publishes `settings` to the platform as an operator would.
/// @return the published version; 0 if publishing failed
std::uint64_t publish(platform& service, moment now, proto::Settings settings,
                      std::uint64_t from_version, const std::string& id);

} // namespace tanagerhoist::standin

#endif
