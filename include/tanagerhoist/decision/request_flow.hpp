#ifndef TANAGERHOIST_DECISION_REQUEST_FLOW_HPP
#define TANAGERHOIST_DECISION_REQUEST_FLOW_HPP

#include "tanagerhoist/core/result_code.hpp"
#include "tanagerhoist/decision/connection_pool.hpp"
#include "tanagerhoist/decision/fair_queue.hpp"
#include "tanagerhoist/decision/fence.hpp"
#include "tanagerhoist/decision/limiter.hpp"
#include "tanagerhoist/decision/outbox.hpp"
#include "tanagerhoist/decision/primary_watch.hpp"
#include "tanagerhoist/decision/replica_view.hpp"
#include "tanagerhoist/decision/request.hpp"
#include "tanagerhoist/decision/request_registry.hpp"
#include "tanagerhoist/decision/retry_policy.hpp"
#include "tanagerhoist/decision/settings_view.hpp"
#include "tanagerhoist/decision/transaction_table.hpp"
#include "tanagerhoist/decision/write_confirmer.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace tanagerhoist
{

/// Times and bounds of the path of a request.
struct request_flow_options
{
    fair_queue_options queue;
    /// Longest wait of one attempt at a server before another is tried.
    milliseconds read_timeout{1000};
    milliseconds write_timeout{3000};
    /// Pause before a read that no server could answer freshly is tried again.
    milliseconds retry_pause{20};
    /// Time from which a read that waits for a replica's connection takes one
    /// of the primary's.
    milliseconds replica_connection_wait{100};
};

/// What the path of a request asks of the other modules.
struct request_flow_modules
{
    fence& fencing;
    limiter& limits;
    primary_watch& primaries;
    replica_view& replicas;
    write_confirmer& confirmer;
    connection_pool& pool;
    transaction_table& transactions;
    request_registry& registry;
    const retry_policy& retries;
    outbox& out;
};

/// The path of every request: checks, allowance, queue, connection, statement,
/// confirmation, answer.
///
/// Each arrived request is answered exactly once. An answer that says
/// "not run" is given only while nothing of the request has left this VM, or
/// after a server has positively refused it.
class request_flow
{
public:
    request_flow(request_flow_options options, request_flow_modules modules);

    /// Takes `view` into force. Callers whose key it no longer holds are
    /// disconnected; their queued requests are refused at dispatch at latest.
    void use_settings(moment now, const settings_view& view);

    /// A caller's request has been read and its key checked.
    void arrive(moment now, const proto::CallerArrived& arrived);

    /// A caller's connection has ended: its transactions are rolled back and
    /// its waiting requests dropped.
    void caller_gone(moment now, std::uint64_t caller);

    /// Something changed that may let waiting requests go on.
    void pump(moment now);

    /// Expires deadlines and pauses.
    void on_tick(moment now);

    /// Refuses all new work from now on.
    void drain();

    /// Whether no request is in flight and no transaction is open.
    bool idle() const;

    /// Number of requests in flight.
    std::size_t in_flight() const { return requests_.size(); }

private:
    using lane_key = std::pair<std::string, lane_kind>;

    struct lane
    {
        explicit lane(const fair_queue_options& options) : queue(options) {}
        fair_queue queue;
        std::optional<std::uint64_t> head; ///< popped, waits for a connection
    };

    // Admission.
    result_code check(moment now, const proto::CallerArrived& arrived) const;
    request make_request(moment now, const proto::CallerArrived& arrived);
    void read_token(request& r) const;
    void admit(moment now, std::uint64_t id);
    void charge(request& r, bool charged);
    void enqueue(moment now, request& r);
    void enqueue_in_transaction(moment now, request& r);
    void pump_admission(moment now);

    // Dispatch.
    bool pump_lane(moment now, lane& l);
    void pump_lanes(moment now);
    bool dispatch_head(moment now, std::uint64_t id);
    result_code recheck(const request& r) const;
    std::vector<std::string> candidates(moment now, const request& r);
    bool reserves_primary(moment now, const request& r,
                          const std::string& server,
                          const std::vector<std::string>& servers) const;
    bool await_replica(moment now, request& r, const std::string& server);
    void send(moment now, request& r);

    // Answers of the databases.
    void on_database(moment now, std::uint64_t id,
                     const proto::DatabaseReply* reply, bool sent);
    void on_failure(moment now, request& r, bool sent);
    void on_refused(moment now, request& r, const proto::ExecuteReply& reply);
    void after_attempt(moment now, request& r, bool sent,
                       const proto::ExecuteReply* reply);
    void on_read(moment now, request& r, const proto::ExecuteReply& reply);
    void on_write(moment now, request& r, const proto::ExecuteReply& reply);
    void on_transaction_step(moment now, request& r,
                             const proto::ExecuteReply& reply);
    void keep_transaction(moment now, request& r);
    void abort_transaction(moment now, request& r);
    void confirm(moment now, request& r, const proto::ExecuteReply& reply);
    void on_confirmed(moment now, std::uint64_t id,
                      write_confirmer::verdict verdict);
    void retry(moment now, request& r, lane_kind lane);
    void abandon_superseded(moment now);

    // Answers to callers.
    void answer(moment now, std::uint64_t id, result_code code,
                const std::string& message = {});
    void answer_immediately(const proto::CallerArrived& arrived,
                            result_code code);
    bool handle_repeated_request(moment now, const request& r);
    void send_answer(const std::vector<std::uint64_t>& calls,
                     const proto::CallerReply& reply);
    void fill_token(const request& r, proto::CallerReply& reply) const;
    void remove_from_queues(const request& r);
    void end_transactions(moment now,
                          const std::vector<open_transaction>& ended);
    void report_waiting_requests(moment now);
    void release(moment now, request& r, bool clean);
    void on_expired_call(moment now, request& r);
    void expire(moment now);
    result_code expiry_code(const request& r) const;
    void note(const request& r, const char* kind, const char* rule,
              result_code code, const std::string& detail = {});

    request* find(std::uint64_t id);
    lane& lane_of(const request& r);
    void release_queue_slot(moment now, const request& r);
    std::string primary_of(const request& r) const;

    request_flow_options options_;
    request_flow_modules modules_;
    const settings_view* view_ = nullptr;
    bool draining_ = false;
    std::uint64_t next_id_ = 1;
    std::map<std::uint64_t, request> requests_;
    std::map<std::string, std::deque<std::uint64_t>> admitting_;
    std::map<lane_key, lane> lanes_;
    std::set<lane_key> nonempty_lanes_; ///< those in which requests wait
    std::uint64_t primary_changes_ = 0;
    std::map<std::uint64_t, proto::Principal> callers_;
    std::map<std::uint64_t, moment> paused_; ///< request to its next attempt
};

} // namespace tanagerhoist

#endif
