#ifndef TANAGERHOIST_DECISION_WRITE_CONFIRMER_HPP
#define TANAGERHOIST_DECISION_WRITE_CONFIRMER_HPP

#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/decision/outbox.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace tanagerhoist
{

/// Timing of the status calls of `write_confirmer`.
struct write_confirmer_options
{
    /// Longest time that one status call waits at a server for the point.
    milliseconds max_server_wait{200};
    /// Added to the wait at the server to give the timeout of the call.
    milliseconds call_margin{200};
    /// Delay before a server is called again after a failed or early answer.
    milliseconds retry_pause{50};
};

/// Determines whether a majority of a group holds a primary's log point and is
/// not sealed above its term, so that every later promotion preserves it.
///
/// The primary's own answer counts as one holder; the other servers are
/// queried. A server counts if it holds that exact entry and is not sealed
/// above the entry's term. The same check after a read proves that the primary
/// had not been superseded when it served the read.
class write_confirmer
{
public:
    enum class verdict
    {
        confirmed,  ///< a majority holds the point; no promotion can lose it
        superseded, ///< too many servers are sealed to newer terms for a
                    ///< majority; the outcome is unknown
        unconfirmed ///< no verdict by the deadline, or the primary's
                    ///< status is unavailable; the outcome is unknown
    };

    using handler = std::function<void(moment, verdict)>;

    explicit write_confirmer(write_confirmer_options options = {});

    /// Starts to confirm `point`. `others` are the servers of the group except
    /// the primary that answered. `done` is called exactly once, possibly
    /// before this function returns.
    /// @pre the outbox outlives the confirmer's outstanding calls
    void confirm(moment now, const std::string& database,
                 const std::vector<std::string>& others,
                 const proto::LogPoint& point, moment deadline, outbox& out,
                 handler done);

    /// Confirms everything that `primary` holds now: queries the end of its
    /// log, then confirms that point. For answers whose own point is not
    /// sufficient, such as that a request had already run in an earlier term.
    /// @param term term in which `primary` is believed to be primary
    void confirm_current(moment now, const std::string& database,
                         const std::string& primary,
                         std::vector<std::string> others, std::uint64_t term,
                         moment deadline, outbox& out, handler done);

    /// Finishes confirmations past their deadline and repeats failed calls.
    void on_tick(moment now, outbox& out);

    /// Number of confirmations without a verdict.
    std::size_t pending() const { return pending_.size(); }

private:
    enum class answer
    {
        none,
        holds,
        refuses
    };

    struct question
    {
        answer last = answer::none;
        bool asked = false;
        moment asked_at;
        moment retry;
    };

    struct confirmation
    {
        std::string database;
        proto::LogPoint point;
        moment deadline;
        handler done;
        std::map<std::string, question> others;
    };

    void ask(moment now, std::uint64_t id, const std::string& server,
             outbox& out);
    void on_reply(moment now, std::uint64_t id, const std::string& server,
                  const proto::StatusReply* reply, outbox& out);
    bool decide(moment now, std::uint64_t id);
    void finish(moment now, std::uint64_t id, verdict value);

    write_confirmer_options options_;
    std::uint64_t next_id_ = 1;
    std::map<std::uint64_t, confirmation> pending_;
};

} // namespace tanagerhoist

#endif
