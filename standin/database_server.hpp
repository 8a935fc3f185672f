#ifndef TANAGERHOIST_STANDIN_DATABASE_SERVER_HPP
#define TANAGERHOIST_STANDIN_DATABASE_SERVER_HPP

#include "messages.pb.h"
#include "standin.pb.h"
#include "standin/replica_link.hpp"
#include "standin/server_log.hpp"
#include "tanagerhoist/core/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tanagerhoist::standin
{

/// One server of a database group, as a state machine without sockets or
/// clock.
///
/// A promoted server appends to the log in its term and pushes the entries to
/// the others. A server rejects everything from a term lower than the highest
/// that it was sealed with or has received. The log, the sealed term and the
/// term of the last promotion survive a restart; the role, open transactions
/// and messages in flight do not.
class database_server
{
public:
    /// Maximum time between two messages of a primary to a replica.
    static constexpr milliseconds heartbeat_interval{10};

    /// @param group names of all servers of the group, this one included
    database_server(std::string name, std::vector<std::string> group);

    /// Answers a call immediately. For a status call with `await`, the reply
    /// tells whether the log holds the point now; waiting is up to the caller.
    /// @param connection connection that owns the transaction, if any
    proto::DatabaseReply handle(moment now, std::uint64_t connection,
                                const proto::DatabaseCall& call);

    /// Rolls back the open transaction of `connection`, if any.
    void connection_closed(std::uint64_t connection);

    /// Next message for `replica`: the entries not sent to it yet, or a
    /// heartbeat if one is due. Empty if there is nothing to send or this
    /// server is not the primary.
    std::optional<proto::standin::ReplicateMessage>
    next_message_for(const std::string& replica, moment now);

    /// Receives a message from another server. Its entries are applied in
    /// order of arrival by the first `advance` after `lag` has passed, or
    /// immediately if `lag` is 0.
    proto::standin::ReplicateAck
    receive(moment now, const proto::standin::ReplicateMessage& message,
            milliseconds lag);

    /// Processes a replica's acknowledgement of a message.
    void acknowledged(moment now, const proto::standin::ReplicateAck& ack);

    /// Applies the messages whose lag has passed.
    void advance(moment now);

    /// Discards the state that does not survive a restart.
    void restart(moment now);

    /// Whether the log holds an entry with this position and term.
    bool holds(const proto::LogPoint& point) const { return log_.holds(point); }

    /// Age of the data. At a replica, the time since its log last equalled
    /// the primary's; at a primary, the time since a majority was last known
    /// not to be sealed with a newer term.
    microseconds age(moment now) const;

    const std::string& name() const { return name_; }
    const std::vector<std::string>& group() const { return group_; }
    bool primary() const { return primary_; }
    std::uint64_t sealed_term() const { return sealed_term_; }
    const server_log& log() const { return log_; }

private:
    /// A received message whose lag has not passed yet.
    struct delayed_message
    {
        moment due;
        moment sent;
        proto::standin::ReplicateMessage message;
    };

    proto::ExecuteReply execute(moment now, std::uint64_t connection,
                                const proto::ExecuteRequest& request);
    proto::StatusReply status(moment now,
                              const proto::StatusRequest& request) const;
    proto::SealReply seal(moment now, const proto::SealRequest& request);
    proto::PromoteReply promote(moment now,
                                const proto::PromoteRequest& request);

    std::optional<proto::DatabaseOutcome>
    check_primary_role(const proto::ExecuteRequest& request) const;
    proto::ExecuteReply
    run_single_statement(std::uint64_t connection,
                         const proto::ExecuteRequest& request);
    proto::ExecuteReply begin(std::uint64_t connection,
                              const proto::ExecuteRequest& request);
    proto::ExecuteReply
    continue_transaction(std::uint64_t connection,
                         const proto::ExecuteRequest& request);
    proto::ExecuteReply commit(std::uint64_t connection,
                               const proto::ExecuteRequest& request);
    proto::ExecuteReply rollback(std::uint64_t connection,
                                 const proto::ExecuteRequest& request);
    proto::ExecuteReply run(const std::vector<proto::ExecuteRequest>& requests,
                            proto::standin::LogEntry* entry) const;
    proto::ExecuteReply
    run_and_append(const std::vector<proto::ExecuteRequest>& requests,
                   const std::string& request_id);
    std::optional<proto::ExecuteReply>
    find_duplicate(const std::string& request_id) const;

    void adopt_term(moment now, std::uint64_t term);
    void step_down(moment now);
    void apply(moment sent, const proto::standin::ReplicateMessage& message);
    void apply_entry(const proto::standin::LogEntry& entry);
    void record_mismatch(const proto::standin::ReplicateMessage& message);
    moment majority_contact_time(moment now, moment replica_link::*when) const;

    std::string name_;
    std::vector<std::string> group_;
    server_log log_;
    std::uint64_t sealed_term_ = 0;
    std::uint64_t promoted_term_ = 0;
    bool primary_ = false;
    /// Requests of the open transaction, by connection.
    std::map<std::uint64_t, std::vector<proto::ExecuteRequest>> transactions_;

    std::map<std::string, replica_link> links_; ///< used by a primary only

    // The members below are used by a replica.
    std::deque<delayed_message> inbox_;
    std::uint64_t mismatch_sequence_ = 0;
    std::uint64_t mismatch_position_ = 0;
    moment last_primary_contact_{};
    moment in_sync_at_{};
};

} // namespace tanagerhoist::standin

#endif
