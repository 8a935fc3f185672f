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

/// Timeouts and queue limits for requests.
struct request_flow_options
{
    fair_queue_options queue;
    /// Timeouts of one attempt at a server before another is tried.
    milliseconds read_timeout{1000};
    milliseconds write_timeout{3000};
    /// Delay before a request is retried.
    milliseconds retry_pause{20};
    /// How long a read waits for a connection to a replica before it may use
    /// one to the primary.
    milliseconds replica_connection_wait{100};
};

/// Modules that the request flow depends on.
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

/// Processes requests: validation, rate limit, queue, connection, statement,
/// confirmation, answer.
///
/// Each request is answered exactly once. "Not run" is answered only if nothing
/// of the request has left this VM, or if a server has explicitly refused it.
class request_flow
{
public:
    request_flow(request_flow_options options, request_flow_modules modules);

    /// Applies new settings. Callers whose key is no longer valid are
    /// disconnected; their queued requests are refused at dispatch at the
    /// latest.
    /// @param view must remain valid until the next call
    void use_settings(moment now, const settings_view& view);

    /// Handles a request that was parsed and whose key was checked.
    void arrive(moment now, const proto::CallerArrived& arrived);

    /// Handles the end of a caller's connection: rolls back its transactions
    /// and ends its waiting requests.
    void caller_gone(moment now, std::uint64_t caller);

    /// Resumes waiting requests; to be called after any change of state that
    /// may unblock them.
    void pump(moment now);

    /// Handles expired deadlines and due retries.
    void on_tick(moment now);

    /// Refuses new requests and transactions from now on.
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
        std::optional<std::uint64_t> head; ///< dequeued, waits for a connection
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

    // Replies of the servers.
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
    std::set<lane_key> nonempty_lanes_; ///< lanes with waiting requests
    std::uint64_t primary_changes_ = 0;
    std::map<std::uint64_t, proto::Principal> callers_;
    std::map<std::uint64_t, moment> paused_; ///< retry time by request id
};

} // namespace tanagerhoist

#endif
