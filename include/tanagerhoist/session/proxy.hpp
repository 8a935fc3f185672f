#ifndef TANAGERHOIST_SESSION_PROXY_HPP
#define TANAGERHOIST_SESSION_PROXY_HPP

#include "fleet.pb.h"
#include "tanagerhoist/core/structured_log.hpp"
#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/session/answer_news.hpp"
#include "tanagerhoist/session/answer_times.hpp"
#include "tanagerhoist/session/backend_server.hpp"
#include "tanagerhoist/session/client_session.hpp"
#include "tanagerhoist/session/connection_budget.hpp"
#include "tanagerhoist/session/drain_schedule.hpp"
#include "tanagerhoist/session/placement.hpp"
#include "tanagerhoist/session/position_history.hpp"
#include "tanagerhoist/session/primary_lease.hpp"
#include "tanagerhoist/session/primary_outlook.hpp"
#include "tanagerhoist/session/proxy_counters.hpp"
#include "tanagerhoist/session/proxy_transport.hpp"
#include "tanagerhoist/session/region_rules.hpp"
#include "tanagerhoist/session/resource_account.hpp"
#include "tanagerhoist/session/second_try.hpp"
#include "tanagerhoist/session/server_connection.hpp"
#include "tanagerhoist/session/server_state.hpp"
#include "tanagerhoist/session/session_settings.hpp"
#include "tanagerhoist/session/wait_outlook.hpp"
#include "tanagerhoist/session/waiting_order.hpp"
#include "tanagerhoist/session/warmup_permits.hpp"
#include "tanagerhoist/session/workspace_limits.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace tanagerhoist
{

/// Time for statements at a primary that is sealed to end by themselves.
constexpr milliseconds seal_grace{150};

using server_standing_list =
    google::protobuf::RepeatedPtrField<proto::ServerStanding>;

/// Session and statement handling of one VM: authentication, admission,
/// queueing, routing and answers. It uses no sockets or clocks: callers pass
/// the current time, and all I/O goes through a `proxy_transport`.
///
/// A statement is retried at another server only if it provably had no effect.
/// A commit or single write whose answer is lost is answered with
/// `outcome_unknown`.
class proxy
{
public:
    /// @param data_centre that this VM is in
    /// @param regions that the servers' data centres lie in
    /// @param max_state_at_servers bytes of values and prepared statements that
    ///   connections to servers keep for ended sessions; beyond it they are
    ///   reset before their next use
    /// @param cost by which servers are chosen for reads
    proxy(std::string data_centre, region_map regions, workspace_limits limits,
          proxy_transport& transport, structured_log& log,
          std::size_t max_state_at_servers = std::size_t{16} << 20U,
          placement_cost cost = cost_by_own_answers);
    ~proxy();
    proxy(const proxy&) = delete;
    proxy& operator=(const proxy&) = delete;

    /// @name Settings and fleet state
    /// @{
    void use_settings(moment now,
                      std::shared_ptr<const session_settings> settings);
    void use_servers(moment now, const server_list& servers);
    void use_members(moment now, std::size_t members);
    void use_lead(moment now, const proto::GroupLead& lead);
    void use_grants(moment now, const workspace_limits::grants& given,
                    bool in_term = true);
    /// Takes over the operations in a deputy's answer.
    void use_handover_reply(moment now, const proto::HandoverReply& reply);
    /// @param sent time from which the sample's age counts back
    void use_position(moment sent, const proto::PositionSample& sample);
    /// Notes a message from the coordinator.
    void use_coordinator_contact(moment now) { coordinator_heard_ = now; }
    /// Asks the next coordinator for what the held statements need, with the
    /// next report.
    void use_new_coordinator();
    /// Notes how long a failover is going to wait for silent VMs.
    void use_seal_wait(moment now, const proto::SealWait& wait);
    /// Takes over which servers are slow or failing, by what all VMs saw.
    /// Servers that are not named do not.
    void use_standings(moment now, const server_standing_list& told);
    /// Takes over what this VM may send to servers in their warm-up.
    /// @param expires when the permits lapse
    void use_warmup_permits(moment now, moment expires,
                            const warmup_permits::permits& given);
    /// @param dated when the time in this VM's row was taken
    void renew_primary_lease(moment dated) { primary_lease_.renew(dated); }
    /// Gives the primary lease up for good, before other VMs may stop waiting
    /// for its end.
    void end_primary_lease() { primary_lease_.end(); }
    /// @}

    /// @name Sessions
    /// @{
    void start_session(moment now, session_id id, const std::string& database,
                       const std::string& key);
    void query(moment now, session_id id, const std::string& query_id,
               statement what);
    void session_closed(moment now, session_id id);

    /// Bytes of a session's state and of its last statement, with the copies
    /// that running it at a server makes.
    held_bytes held_by(session_id id) const;
    client_activity activity_of(session_id id) const;

    /// Bytes of values and prepared statements that connections to servers have
    /// from running and ended sessions.
    std::size_t state_at_servers() const { return state_at_servers_; }
    /// @}

    /// @name Connections to servers
    /// @{
    void connection_opened(moment now, connection_id id,
                           const std::optional<log_position>& position);
    void connection_refused(moment now, connection_id id, session_error error);
    void connection_lost(moment now, connection_id id);
    /// @param row_starts where in `row` another one may begin, after a part of
    /// an earlier answer that was cut within a line
    void server_row(moment now, connection_id id, std::string row,
                    std::vector<std::size_t> row_starts = {});
    void server_complete(moment now, connection_id id, std::string signature);
    void server_error(moment now, connection_id id, session_error error,
                      std::string text);
    void server_ready(moment now, connection_id id, transaction_state state,
                      const std::optional<log_position>& position);
    /// A part of a line has arrived.
    void server_bytes(moment now, connection_id id);
    /// @}

    /// Handles timeouts and retries; must be called every `tick_interval`.
    void tick(moment now);
    static constexpr milliseconds tick_interval{50};

    /// Starts draining. From `schedule.leaves()` on no statement is sent to a
    /// server, and the next tick answers those that are outstanding.
    void begin_drain(const drain_schedule& schedule);

    bool is_ready(moment now) const;

    /// Whether this VM of a large fleet has lost the coordinator for longer
    /// than a change of it takes, so that it admits little or nothing, while
    /// other VMs probably serve.
    bool is_isolated(moment now) const;
    std::size_t members() const { return members_; }
    std::size_t sessions() const { return sessions_.size(); }
    /// Statements that wait for a grant.
    std::size_t held() const { return held_.size(); }
    /// The same by workspace.
    workspace_limits::held_statements held_statements() const;
    /// Statements that wait for a server.
    std::size_t waiting() const;
    bool has_work() const;

    /// Whether statements of this VM still run at a sealed primary.
    bool is_sealed_primary_in_use() const;

    /// Adds this VM's observations and demand to its report to the coordinator.
    void describe(moment now, proto::VmReport& report);

    workspace_limits& limits() { return limits_; }
    const proxy_counters& figures() const { return figures_; }
    const session_settings* settings() const { return settings_.get(); }
    const std::unordered_map<std::string, proto::GroupLead>& leads() const
    {
        return leads_;
    }
    const server_state* server(const std::string& id) const;

    /// Whether what the coordinator told of a server is new enough to be used.
    static bool is_deviation_told(moment now, const server_state& server);
    const std::unordered_map<std::string, server_state>& servers() const
    {
        return servers_;
    }

private:
    struct group_state
    {
        position_history history;
        std::vector<session_id> waiting;
        waiting_order order;
        wait_outlook primary_wait; ///< of statements that need the primary
        wait_outlook read_wait;    ///< of the others
        moment sealed_at{};
        std::optional<moment> promotion_waits_until; ///< while sealed
        moment position_asked{}; ///< when the primary was asked for it
    };
    using session_map = std::unordered_map<session_id, client_session>;

    // Sessions: proxy_sessions.cpp
    bool refresh_route(client_session& session);
    void run_locally(moment now, session_id id, client_session& session);
    bool reject_by_state(moment now, session_id id, client_session& session);
    void submit_to_server(moment now, session_id id, client_session& session);
    void answer_done(moment now, session_id id, client_session& session);
    void answer_error(moment now, session_id id, client_session& session,
                      session_error error, const std::string& text,
                      const std::string& inputs = {});
    void end_session_if_done(moment now, session_id id);
    void end_session(moment now, session_id id,
                     std::optional<session_error> error);
    void leave_connection(client_session& session);

    // Values and prepared statements: proxy_session_state.cpp
    static void set_value(client_session& session);
    static bool remove_prepared(client_session& session,
                                const std::string& name);
    static bool can_prepare(const statement& what);
    static std::optional<session_error>
    resolve_execute(client_session& session);

    // Transactions: proxy_transactions.cpp
    void begin(moment now, session_id id, client_session& session);
    void open_transaction(moment now, session_id id, client_session& session);
    void roll_back_locally(moment now, session_id id, client_session& session);
    void roll_back_at_server(moment now, client_session& session);
    void abort_transaction(moment now, session_id id, client_session& session,
                           const std::string& cause, const std::string& text);

    // Limits of workspaces: proxy_admission.cpp (with use_grants)
    bool admit(moment now, session_id id, client_session& session);
    void end_operation(client_session& session);
    void refuse_rate(moment now, session_id id, client_session& session);
    void admit_held(moment now);

    // Queueing and routing: proxy_dispatch.cpp
    void run_pass(moment now, const std::function<void()>& pass);
    void dispatch(moment now, const std::string& group);
    void assign_waiting(moment now, const std::string& group);
    queued_statement queued(session_id id) const;
    std::vector<queued_statement> take_waiting(moment now,
                                               const std::string& group);
    microseconds likely_answer_time(moment now, const std::string& group) const;
    void dispatch_group_of(moment now, const std::string& server);
    bool place(moment now, session_id id, client_session& session);
    bool place_at(moment now, session_id id, client_session& session,
                  server_state& server);
    server_state* usable_primary(moment now, const client_session& session);
    static bool may_read_replica(moment now, const session_request& request,
                                 const server_state& replica);
    server_state* choose_for_read(moment now, client_session& session);
    std::optional<log_position> needed_position(moment now,
                                                const client_session& session);
    log_position reachable(const std::string& group,
                           const log_position& commit) const;
    bool has_capacity(moment now, const server_state& server,
                      const client_session& session);
    void requeue(session_id id, client_session& session,
                 const std::string& avoid);

    // Rejection of queued statements: proxy_rejections.cpp
    void reject_unservable(moment now, const std::string& group,
                           const std::vector<queued_statement>& assigned,
                           const std::vector<queued_statement>& left);
    std::vector<queued_statement>
    of_kind(const std::vector<queued_statement>& statements,
            bool needs_primary) const;
    bool has_server_for(moment now, const client_session& session);
    void refuse_for_room(moment now, const unservable_statement& refused);
    std::optional<milliseconds>
    primary_out_of_reach(moment now, const client_session& session) const;
    primary_outage outage_of(moment now, const std::string& group) const;
    void refuse_expired(moment now, session_id id, client_session& session);
    void reject_out_of_reach(moment now, const std::vector<session_id>& ids);
    bool should_reject_lagging_read(moment now, const client_session& session);
    bool has_only_evacuated_servers(moment now, const client_session& session);
    void reject(moment now, const std::vector<session_id>& ids,
                session_error error, const std::string& cause,
                const std::string& text);

    // Connections: proxy_connections.cpp
    connection_budget budget_at(const server_state& server) const;
    std::vector<connection_id> connections_of(const std::string& server) const;
    connection_id idle_connection(moment now, const std::string& server,
                                  const client_session& session) const;
    connection_id longest_idle_connection(const std::string& server) const;
    bool is_repeating(moment now, const std::string& server) const;
    bool is_rested(moment now, const server_connection& connection) const;
    void open_connection(moment now, server_state& server,
                         const std::string& workspace, session_id owner);
    void run_on_connection(moment now, session_id id, client_session& session,
                           connection_id connection);
    void build_script(const client_session& session,
                      server_connection& connection);
    void send_next(moment now, connection_id id, server_connection& connection);
    void end_running(server_connection& connection);
    void close_connection(connection_id id);
    void release(moment now, connection_id id, server_connection& connection);
    template <typename Change>
    void change_state(server_connection& connection, Change change)
    {
        state_at_servers_ -= connection.state.size();
        change(connection.state);
        state_at_servers_ += connection.state.size();
    }
    void limit_state(server_connection& connection);
    void close_idle_if(const std::function<bool(const server_connection&,
                                                const server_state&)>& closes);
    void close_idle_at_leaving();
    void close_scarce_idle(moment now);

    // Servers in their warm-up: proxy_warmup.cpp
    bool is_warming(moment now, const server_state& server) const;
    bool may_use(moment now, const server_state& server);
    bool take_warmup_permit(moment now, const std::string& server);
    void send_permitted(moment now);
    void note_warmups(moment now);

    // Regions that routes and workspaces allow: proxy_regions.cpp
    region_restriction restriction_of(const client_session& session) const;
    bool may_run(const client_session& session,
                 const server_state& server) const;
    region_refusal refused_by_region(const client_session& session) const;
    void reject_outside_regions(moment now, const std::vector<session_id>& ids);
    std::string describe_regions(const client_session& session) const;
    void note_regions();
    void leave_disallowed_servers(moment now);
    std::string probing_workspace(const server_state& server) const;
    void ask_positions(moment now);

    // Answers that are not taken: proxy_answer_faults.cpp
    server_connection* answered_connection(moment now, connection_id id,
                                           bool ends_answer);
    bool take_answer(moment now, connection_id id,
                     server_connection& connection);
    void note_error(server_connection& connection, answer_fault fault);
    bool skip_repeated(moment now, server_connection& connection,
                       answer_fault fault);
    void skip_surplus(moment now, connection_id id,
                      server_connection& connection);
    void end_partial_surplus(moment now);
    bool has_surplus(connection_id id,
                     const server_connection& connection) const;
    void note_fault(moment now, const server_connection& connection,
                    answer_fault fault);
    void give_up_connection(moment now, connection_id id, answer_fault fault);

    // Rows that may belong to an earlier answer: proxy_row_doubts.cpp
    const recurring_rows&
    recurring_at(const server_connection& connection) const;
    doubtful_rows doubt_on(const server_connection& connection) const;
    bool are_rows_confirmed(const server_connection& connection) const;
    const doubted_rows* doubted_by(const server_connection& connection) const;
    void note_rows(const server_connection& connection);
    void note_rows_of_write(const server_connection& connection);
    void note_recurring_rows(const doubted_rows& rows);
    void doubt_rows(const server_connection& connection, answer_fault fault);
    bool ask_again(moment now, connection_id id, server_connection& connection,
                   answer_fault fault);

    // Answers: proxy_answers.cpp
    void finish_statement(moment now, connection_id id,
                          server_connection& connection);
    void finish_proxy_statement(moment now, connection_id id,
                                server_connection& connection);
    void handle_success(moment now, connection_id id,
                        server_connection& connection, client_session& session);
    void handle_error(moment now, connection_id id,
                      server_connection& connection, client_session& session);
    void handle_lost_connection(moment now, session_id id,
                                client_session& session, bool sent);
    void record_position(moment now, const server_connection& connection,
                         const log_position& position, moment sent);
    bool ran_at_current_primary(moment now, const server_connection& connection,
                                const client_session& session) const;
    bool is_seal_grace_over(moment now, const proto::GroupLead& lead) const;
    void log_statement(log_level level, std::string_view event, moment now,
                       const client_session& session, std::string_view cause);

    // Evidence about servers: proxy_evidence.cpp
    static statement_class class_of(const client_session& session);
    void record_answer(moment now, const server_connection& connection,
                       const client_session& session);
    void record_outcome(moment now, const std::string& server,
                        server_outcome outcome);
    static double failing_share(moment now, const server_state& server);
    double expected_answer_us(moment now, const client_session& session,
                              const server_state& server) const;
    static bool is_held_back(moment now, const session_request& request,
                             const server_state& server);
    placement_candidate candidate_for(moment now, const client_session& session,
                                      const server_state& server) const;

    // Reads tried at another server: proxy_second_tries.cpp
    void move_overdue_reads(moment now);
    bool is_overdue(moment now, connection_id id,
                    const server_connection& connection) const;
    void move_read(moment now, connection_id id,
                   const server_connection& connection);

    // Fleet state: proxy_fleet.cpp
    void end_disallowed_sessions(moment now);
    void remove_gone_servers(moment now, const server_list& servers);
    void add_servers(moment now, const server_list& servers);
    void remove_server(moment now, const std::string& id);
    bool has_primary_work_at(const std::string& server) const;

    // Leaving of this VM: proxy_drain.cpp
    void limit_to_drain(session_request& request) const;
    bool is_too_late(moment now, const client_session& session) const;
    void refuse_while_leaving(moment now, session_id id,
                              client_session& session);
    void reject_too_late(moment now, const std::string& group);
    microseconds expected_answer_time(moment now,
                                      const client_session& session) const;
    void answer_overtaken(moment now, session_id id, client_session& session);
    void reject_waiting_as_leaving(moment now, session_id id,
                                   client_session& session);
    void drain(moment now);

    // Timeouts: proxy_time.cpp
    void withdraw(session_id id, const client_session& session);
    void refuse_waiting(moment now, session_id id, client_session& session,
                        session_error error, const std::string& text,
                        const std::string& inputs = {});
    void tick_in_pass(moment now);
    void expire_requests(moment now);
    void expire_running(moment now, session_id id, client_session& session);
    void break_off(moment now, session_id id, client_session& session,
                   session_error failure, const std::string& text);
    void end_idle_transactions(moment now);
    void check_silent_servers(moment now);
    void probe_failing_primaries(
        moment now, std::unordered_map<std::string, bool>& silent) const;
    void probe(moment now, const std::string& id);
    void move_idle_sessions(moment now);

    // Work that is ended before its answer: proxy_aborts.cpp
    void abort_at_sealed_primaries(moment now);
    void abort_at_closed_servers(moment now);
    void abort_running_at(moment now, const std::string& server, bool writes);
    void abort_running(moment now, connection_id id);

    server_state* find_server(const std::string& id);
    const proto::GroupLead* lead_of(const std::string& group) const;

    std::string data_centre_;
    region_map regions_;
    bool restricts_regions_ = false; ///< any route or workspace does
    region_set unknown_regions_;     ///< that are allowed, as logged
    proxy_transport& transport_;
    structured_log& log_;
    placement_cost placement_cost_;
    std::shared_ptr<const session_settings> settings_;
    std::unordered_map<std::string, server_state> servers_;
    std::unordered_map<std::string, proto::GroupLead> leads_;
    std::unordered_map<std::string, group_state> groups_;
    session_map sessions_;
    std::unordered_map<connection_id, server_connection> connections_;
    std::set<std::string> due_groups_; ///< to be dispatched after the pass
    bool in_pass_ = false;
    std::size_t max_state_at_servers_;
    std::size_t state_at_servers_ = 0; ///< of all connections
    std::vector<session_id> held_; ///< waiting for a grant, in order of arrival
    workspace_limits limits_;
    warmup_permits warmup_permits_;
    std::set<std::string> warming_; ///< servers, as logged
    std::map<statement_class, answer_times> answer_times_;
    second_try_budget second_tries_;
    answer_news answer_news_;
    primary_lease primary_lease_;
    proxy_counters figures_;
    std::size_t members_ = 1;
    moment coordinator_heard_{};
    moment last_tick_{};
    moment grants_heard_{}; ///< the last message with grants
    std::optional<moment> isolated_since_;
    connection_id next_connection_ = 1;
    std::optional<drain_schedule> drain_; ///< once it has begun
};

} // namespace tanagerhoist

#endif
