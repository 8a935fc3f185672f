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

/// How the confirmer asks.
struct write_confirmer_options
{
    /// Longest time that one question waits at a server for the point.
    milliseconds max_server_wait{200};
    /// Added to `await` before a question counts as failed.
    milliseconds call_margin{200};
    /// Pause before a server is asked again after a failure.
    milliseconds retry_pause{50};
};

/// Finds out whether a log point of a primary is held by a majority of its
/// group in a term that is still open, so that every later promotion sees it.
///
/// The primary's own answer counts as one holder; the others are asked. A
/// server counts when it holds the very entry and is not sealed above the
/// entry's term. The same question, asked after a read, proves that the primary
/// that served the read had not been superseded when it did.
class write_confirmer
{
public:
    enum class verdict
    {
        confirmed,  ///< a majority holds the point; no promotion can lose it
        superseded, ///< newer terms leave no majority; the outcome is unknown
        unconfirmed ///< the deadline passed first; the outcome is unknown
    };

    using handler = std::function<void(moment, verdict)>;

    explicit write_confirmer(write_confirmer_options options = {});

    /// Starts to confirm `point`. `others` are the servers of the group
    /// without the primary that answered. `done` runs exactly once, possibly
    /// before this returns.
    /// @pre the outbox outlives the confirmer's outstanding questions
    void confirm(moment now, const std::string& database,
                 const std::vector<std::string>& others,
                 const proto::LogPoint& point, moment deadline, outbox& out,
                 handler done);

    /// Confirms everything that `primary` holds now: asks it for the end of
    /// its log, then confirms that. For answers whose own point does not tell
    /// enough, such as that a request had run in an earlier term.
    /// @param term in which `primary` is believed to lead
    void confirm_current(moment now, const std::string& database,
                         const std::string& primary,
                         std::vector<std::string> others, std::uint64_t term,
                         moment deadline, outbox& out, handler done);

    /// Ends what is past its deadline and repeats questions that failed.
    void on_tick(moment now, outbox& out);

    /// Confirmations without a verdict.
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
