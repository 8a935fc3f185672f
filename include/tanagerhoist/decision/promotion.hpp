#ifndef TANAGERHOIST_DECISION_PROMOTION_HPP
#define TANAGERHOIST_DECISION_PROMOTION_HPP

#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/decision/outbox.hpp"
#include "tanagerhoist/decision/pending_calls.hpp"
#include "tanagerhoist/decision/term_source.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace tanagerhoist
{

/// Timing of a promotion.
struct promotion_options
{
    /// Timeout of one seal or promote call.
    milliseconds call_timeout{300};
    /// Time in each round during which only a majority without the suspect is
    /// used.
    milliseconds suspect_exclusion{100};
    /// Delay before a seal call that failed or was refused is sent again.
    milliseconds resend_delay{50};
    /// Delay per rank before a new round, after a higher term was seen or the
    /// promote call failed.
    milliseconds rank_retry_delay{100};
    /// Upper bound of the jitter added to that delay, which separates
    /// promoters of equal rank.
    milliseconds max_jitter{64};
    /// Promote calls to the chosen server before a new round starts.
    unsigned max_promote_attempts = 2;
    /// A longer gap between two inputs means that this process was paused; the
    /// promotion is then abandoned.
    milliseconds max_input_gap{400};
};

/// Input of a promotion.
struct promotion_task
{
    std::string database;
    std::vector<std::string> servers; ///< all servers of the group
    std::string suspect;              ///< old primary, or empty
    std::uint64_t seen_term = 0;      ///< highest term seen so far
    unsigned rank = 0;                ///< of this VM among the watchers
};

/// One promotion of one database group.
///
/// It seals a majority of the servers with a unique term and then promotes the
/// sealed server whose log ends at the highest point. A sealed server accepts
/// nothing of a lower term, so the chosen log holds every entry that any
/// majority has confirmed. Safety does not depend on clocks, on the platform or
/// on being the only promoter. All calls are idempotent. No term is offered to
/// two servers.
class promotion
{
public:
    enum class state
    {
        sealing,
        promoting,
        backing_off, ///< a higher term was seen or the promote call failed; a
                     ///< new round follows
        won,
        abandoned
    };

    /// Called once when a server has accepted the promotion.
    using won_handler =
        std::function<void(moment, const proto::PrimaryBelief&, outbox&)>;

    /// @pre `terms` is ready and outlives this object
    promotion(promotion_task task, promotion_options options,
              term_source& terms, won_handler won);

    /// Starts the first round.
    void start(moment now, outbox& out);

    /// Repeats failed seal calls, and starts a new round once the delay after
    /// a failed one has passed.
    void on_tick(moment now, outbox& out);

    /// Stops the promotion. Servers that were sealed stay sealed.
    void abandon() { state_ = state::abandoned; }

    /// Drops outstanding calls; must be called before the destructor.
    void close(outbox& out) { calls_.drop(out); }

    state current() const { return state_; }
    bool finished() const;
    std::uint64_t term() const { return term_; }

private:
    struct server_state
    {
        bool sealed = false;
        bool asked = false;
        moment resend_at;
        proto::LogPoint last;
    };

    bool abandon_if_paused(moment now);
    void begin_round(moment now, outbox& out);
    void seal(const std::string& server, outbox& out);
    void on_seal(moment now, const std::string& server, std::uint64_t term,
                 const proto::SealReply* reply, outbox& out);
    void choose(moment now, outbox& out);
    const std::string* best_candidate(bool with_suspect) const;
    void promote(outbox& out);
    void on_promote(moment now, std::uint64_t term,
                    const proto::PromoteReply* reply, outbox& out);
    void back_off(moment now, std::uint64_t seen);

    promotion_task task_;
    promotion_options options_;
    term_source& terms_;
    won_handler won_;
    pending_calls calls_;
    state state_ = state::sealing;
    std::uint64_t term_ = 0;
    unsigned round_ = 0;
    unsigned promote_attempts_ = 0;
    std::string chosen_;
    moment round_began_;
    moment resume_;
    moment last_input_;
    std::map<std::string, server_state> servers_;
};

} // namespace tanagerhoist

#endif
