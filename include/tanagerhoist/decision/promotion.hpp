#ifndef TANAGERHOIST_DECISION_PROMOTION_HPP
#define TANAGERHOIST_DECISION_PROMOTION_HPP

#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/decision/call_set.hpp"
#include "tanagerhoist/decision/outbox.hpp"
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
    /// Longest wait for one answer to a seal or promote call.
    milliseconds call_timeout{300};
    /// How long a majority without the suspected server is preferred.
    milliseconds suspect_exclusion{100};
    /// Pause before a call without an answer is repeated.
    milliseconds resend_delay{50};
    /// Pause per rank before a new round after a higher term was met.
    milliseconds rank_retry_delay{100};
    /// Upper end of the extra pause that parts promoters of equal rank.
    milliseconds max_jitter{64};
    /// Calls to promote one server before a new round is begun.
    unsigned max_promote_attempts = 2;
    /// Longest time between two inputs before the promotion stops itself.
    milliseconds max_input_gap{400};
};

/// What is to be promoted, by whom.
struct promotion_task
{
    std::string database;
    std::vector<std::string> servers; ///< the whole group
    std::string suspect;              ///< old primary, or empty
    std::uint64_t seen_term = 0;      ///< highest term met so far
    unsigned rank = 0;                ///< among the watchers
};

/// One promotion of one database group.
///
/// It seals a majority of the servers with a term of its own and then promotes
/// the sealed server whose log ends highest. A sealed server takes nothing of a
/// lower term, so the chosen log holds every entry that any majority has
/// confirmed; nothing here depends on clocks, on the platform or on being the
/// only promoter. Every call may be repeated. One term is never offered to two
/// servers.
class promotion
{
public:
    enum class state
    {
        sealing,
        promoting,
        backing_off, ///< a higher term was met; a new round follows
        won,
        abandoned
    };

    /// Runs once when a server has accepted the promotion.
    using won_handler =
        std::function<void(moment, const proto::PrimaryBelief&, outbox&)>;

    /// @pre `terms` is ready and outlives this
    promotion(promotion_task task, promotion_options options,
              term_source& terms, won_handler won);

    /// Begins the first round.
    void start(moment now, outbox& out);

    /// Repeats what was lost and begins a new round after a pause.
    void on_tick(moment now, outbox& out);

    /// Stops without a result. Sealed servers stay sealed.
    void abandon() { state_ = state::abandoned; }

    /// Forgets outstanding calls; must precede the destructor.
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
    call_set calls_;
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
