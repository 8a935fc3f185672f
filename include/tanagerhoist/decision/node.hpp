#ifndef TANAGERHOIST_DECISION_NODE_HPP
#define TANAGERHOIST_DECISION_NODE_HPP

#include "tanagerhoist/core/identity.hpp"
#include "tanagerhoist/decision/hybrid_clock.hpp"
#include "tanagerhoist/decision/incarnation_allocator.hpp"
#include "tanagerhoist/decision/membership.hpp"
#include "tanagerhoist/decision/request_flow.hpp"
#include "tanagerhoist/decision/settings_follower.hpp"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace tanagerhoist
{

/// Identity of a node and the options of its modules.
struct node_options
{
    std::string vm;
    std::string data_centre;
    membership_options membership;
    settings_follower_options settings;
    fence_options fence;
    limiter_options limiter;
    primary_watch_options primaries;
    replica_view_options replicas;
    write_confirmer_options confirmer;
    connection_pool_options pool;
    transaction_table_options transactions;
    request_registry_options registry;
    retry_policy_options retries;
    request_flow_options flow;
};

/// Values that a node exports as metrics.
struct node_metrics
{
    std::uint64_t incarnation = 0;
    std::uint64_t settings_version = 0;
    std::size_t requests_in_flight = 0;
    std::size_t serving_vms = 0;
    bool may_serve = false;
    bool draining = false;
};

/// Decision layer of one daemon: a deterministic state machine that turns
/// inputs into actions. It uses no sockets, fibers, threads, clocks or logs;
/// the same inputs in the same order always produce the same actions and
/// events.
class node
{
public:
    explicit node(node_options options);
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// Processes one input. Input times must be non-decreasing.
    /// @return actions to perform, in order
    std::vector<proto::Action> apply(const proto::Input& input);

    /// Removes and returns the events recorded since the last call, in order,
    /// with identity, time and sequence number set.
    std::vector<proto::Event> take_events();

    /// Current metric values; `now` must be the time of the last input.
    node_metrics current_metrics(moment now) const;

    /// Interval at which the node must receive tick inputs.
    static constexpr milliseconds tick_interval{20};

private:
    using handler = void (node::*)(moment, const proto::Input&);
    static handler handler_of(proto::Input::BodyCase body);

    void on_caller_arrived(moment now, const proto::Input& input);
    void on_caller_gone(moment now, const proto::Input& input);
    void on_database_answered(moment now, const proto::Input& input);
    void on_database_failed(moment now, const proto::Input& input);
    void on_connection_opened(moment now, const proto::Input& input);
    void on_connection_closed(moment now, const proto::Input& input);
    void on_platform_answered(moment now, const proto::Input& input);
    void on_platform_failed(moment now, const proto::Input& input);
    void on_peer(moment now, const proto::Input& input);
    void on_tick(moment now, const proto::Input& input);
    void on_drain(moment now, const proto::Input& input);

    void adopt_settings(moment now);
    void share_connections(moment now, const std::set<std::string>& servers);
    void continue_draining(moment now);
    proto::Heartbeat make_heartbeat();
    std::vector<std::string> serving_vms(moment now) const;
    void stamp(proto::Action& action);
    void note(const char* kind, const char* rule, std::string detail);

    node_options options_;
    identity self_;
    hybrid_clock clock_;
    std::uint64_t wall_us_ = 0;
    std::uint64_t event_sequence_ = 0;
    bool draining_ = false;
    bool may_serve_ = false; ///< as last recorded in an event
    bool leaving_ = false;   ///< drained, hands over its slices
    bool drain_reported_ = false;

    outbox out_;
    incarnation_allocator incarnations_;
    membership membership_;
    settings_follower follower_;
    fence fence_;
    limiter limiter_;
    primary_watch primaries_;
    replica_view replicas_;
    write_confirmer confirmer_;
    connection_pool pool_;
    transaction_table transactions_;
    request_registry registry_;
    retry_policy retries_;
    request_flow flow_;
    std::unique_ptr<const settings_view> view_;
    std::vector<proto::Event> events_;
};

} // namespace tanagerhoist

#endif
