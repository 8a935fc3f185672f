#ifndef TANAGERHOIST_STANDIN_FLEET_HPP
#define TANAGERHOIST_STANDIN_FLEET_HPP

#include "standin/database_group.hpp"
#include "standin/platform.hpp"
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

/// Who takes part, and how long everything takes.
struct fleet_options
{
    std::map<std::string, std::string> vms; ///< data centre by VM
    proto::Settings settings;               ///< published before the start
    microseconds inside{200};               ///< one way within a data centre
    microseconds across{1000};              ///< one way between two
    microseconds to_clients{3000};          ///< one way
    microseconds to_platform{1000};         ///< one way
    milliseconds connect_time{12};
    microseconds service_time{2000}; ///< of one statement
    milliseconds replica_lag{1};
    std::uint64_t seed = 1;
    node_options node;
};

/// What happens to messages between VMs.
struct peer_faults
{
    unsigned lost_percent = 0;
    unsigned repeated_percent = 0;
    microseconds jitter{0}; ///< longest extra delay; reorders
};

/// Nodes, database groups and the platform on one injected clock. Carries out
/// the actions of each node and feeds it with what comes of them.
class fleet
{
public:
    /// Runs with the answer, or with null when the connection was lost.
    using answer_handler = std::function<void(const proto::CallerReply*)>;
    using action_observer =
        std::function<void(const std::string& vm, const proto::Action&)>;
    using event_observer = std::function<void(const proto::Event&)>;

    explicit fleet(fleet_options options);
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    moment now() const { return now_; }
    void run_for(microseconds duration);
    /// Runs `event` when `delay` has passed.
    void later(microseconds delay, std::function<void()> event);
    void observe(action_observer actions, event_observer events);

    /// Opens a caller's connection to `vm`.
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

    /// Loses what one endpoint sends to the other, both ways. The platform's
    /// endpoint is named "platform".
    void cut(const std::string& one, const std::string& other);
    void heal();
    void kill_server(const std::string& server);
    void restart_server(const std::string& server);
    void set_peer_faults(const peer_faults& faults) { faults_ = faults; }

    platform& service() { return platform_; }
    database_group& group(const std::string& database);
    const node* decisions(const std::string& vm) const;
    /// Connections that all VMs hold to `server`, those being opened included.
    std::uint64_t connections(const std::string& server) const;
    std::size_t unanswered(const std::string& vm) const;
    std::uint64_t settings_version(const std::string& vm) const;

    /// What no node may do: answer twice, use a connection twice at a time, or
    /// finish its drain with calls unanswered.
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
        std::uint64_t generation = 0; ///< unique over all lives of all VMs
        moment started{};
        bool frozen = false;
        bool finished = false;
        std::vector<std::function<void()>> backlog; ///< arrived while frozen
        std::map<std::uint64_t, server_connection> server_connections;
        /// Connection of each call in flight to a database, by tag.
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
    /// A question that a server answers once it holds a point.
    struct waiting_call
    {
        std::string server;
        proto::DatabaseCall call;
        moment until;
        std::function<void(const proto::DatabaseReply&)> answer;
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
               std::function<void(const proto::DatabaseReply&)> answer);
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
    std::vector<waiting_call> waiting_;
    std::set<std::pair<std::string, std::string>> cuts_;
    action_observer on_action_;
    event_observer on_event_;
    std::vector<std::string> violations_;
};

/// Publishes `settings` as an operator at the platform would, and answers the
/// version; 0 if it could not be published.
std::uint64_t publish(platform& service, moment now, proto::Settings settings,
                      std::uint64_t from_version, const std::string& id);

} // namespace tanagerhoist::standin

#endif
