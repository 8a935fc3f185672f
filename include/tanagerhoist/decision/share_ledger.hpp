#ifndef TANAGERHOIST_DECISION_SHARE_LEDGER_HPP
#define TANAGERHOIST_DECISION_SHARE_LEDGER_HPP

#include "messages.pb.h"
#include "tanagerhoist/core/identity.hpp"
#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/decision/membership.hpp"
#include "tanagerhoist/decision/outbox.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace tanagerhoist
{

struct share_ledger_options
{
    milliseconds refresh_interval{2000};
    /// The interval doubles up to this while neither row nor VMs change.
    milliseconds max_refresh_interval{64000};
    milliseconds retry_interval{100};
    milliseconds call_timeout{1000};
    /// Time since a holder's entry was first seen before it may be reclaimed.
    milliseconds reclaim_wait{5000};
};

/// One holder's books on one conserved resource.
///
/// A holder owns what the table row `share/RESOURCE` grants it, plus what it
/// received from peers, less what it gave to them. Over all holders, with
/// `free_parts` and the messages in flight, that is always the whole.
///
/// A transfer is debited before its message is sent. Each message carries the
/// cumulative total of its ordered pair of incarnations, and the receiver
/// credits how far that exceeds the total it knows: a repeated or overtaken
/// message credits nothing, and the next one makes up for a lost one, parts
/// and tokens alike.
///
/// Reclaiming: each live holder moves its balance with a gone one into the
/// row, in the same compare-and-set that marks the two as settled, and credits
/// none of its messages from then on. When all live holders have settled with
/// all gone ones, what the gone ones were granted is all that they hold.
class share_ledger
{
public:
    share_ledger(const identity& self, const membership& members,
                 std::string resource, share_ledger_options options);

    /// Sets the number of parts of the whole.
    void set_total_parts(std::uint64_t total_parts);

    /// Whether `on_tick` has nothing to do soon, unless something else is
    /// called in between.
    bool idle(std::uint64_t epoch) const;

    /// Reads or writes the row if something calls for it. `epoch` counts the
    /// times that this incarnation's place was in doubt; `may_access_row` is
    /// false while it is.
    void on_tick(moment now, std::uint64_t epoch, bool may_access_row,
                 outbox& out);

    /// Begins empty books, after this incarnation's number has changed.
    void reset();

    /// Parts held.
    std::uint64_t parts() const { return parts_; }

    /// Parts taken from a row that nobody had an entry in before, since the
    /// last call. They come with a full bucket, as nothing was spent of them;
    /// `free_tokens` of the row counts those not yet taken.
    std::uint64_t take_unspent_parts();

    /// Tokens that came with messages of givers that the row named only later,
    /// since the last call.
    std::uint64_t take_late_tokens();

    /// Parts that the row accounts for; 0 before it was read.
    std::uint64_t row_total_parts() const { return row_total_parts_; }

    /// Whether what is held may be used or given in `epoch`.
    bool usable(std::uint64_t epoch) const;

    /// Whether peers may be given parts, which takes an entry in the row.
    bool may_give(std::uint64_t epoch, const proto::Incarnation& to) const;

    /// Whether nothing was ever held under this number.
    bool is_unused() const { return !has_grant_ && !has_received(); }

    /// Whether another holder has closed its books on this incarnation, which
    /// then can never again use what it holds.
    bool expelled() const { return expelled_; }

    /// Debits `given` and returns the message that carries it to `to`. An
    /// empty one repeats the total.
    proto::SliceGive give(const proto::Incarnation& to, proto::Slice given,
                          std::uint64_t ask);

    /// Credits what `message` adds to the total known; returns it. What comes
    /// from a giver that the row does not name is credited when it does.
    proto::Slice receive(const proto::Incarnation& from,
                         const proto::SliceGive& message);

private:
    struct channel
    {
        std::string vm;
        std::uint64_t sequence = 0;
        std::uint64_t given_parts = 0;
        std::uint64_t given_tokens = 0;
        std::uint64_t received_parts = 0;
        std::uint64_t received_tokens = 0;
        /// Latest totals heard; credited once the giver may be believed.
        std::uint64_t announced_parts = 0;
        std::uint64_t announced_tokens = 0;
        /// Settlement written from this row version, its outcome unknown.
        std::uint64_t settling_version = 0;
        bool closed = false;
    };

    void read(outbox& out);
    void write(moment now, proto::ShareRow next, std::uint64_t epoch,
               outbox& out);
    void observe(moment now, std::uint64_t version, const proto::ShareRow& row);
    bool is_stable(moment now) const;
    static bool is_unused_row(const proto::ShareRow& row);
    void observe_own(const proto::ShareRow& row);
    bool is_giver_valid(std::uint64_t number, const channel& from) const;
    proto::Slice credit(channel& from);
    void observe_settled(const proto::ShareGrant& own);
    proto::ShareRow next_row(moment now);
    bool add_own_grant(proto::ShareRow& row);
    void add_gone_receivers(moment now, proto::ShareRow& row) const;
    void settle(moment now, proto::ShareRow& row);
    void reclaim(moment now, proto::ShareRow& row) const;
    void take_free_parts(proto::ShareRow& row) const;
    bool all_settled(const proto::ShareRow& row,
                     const std::set<std::uint64_t>& gone, moment now) const;
    bool gone(const std::string& vm, std::uint64_t number, moment now) const;
    bool has_received() const;

    const identity& self_;
    const membership& members_;
    std::string resource_;
    share_ledger_options options_;
    std::uint64_t total_parts_ = 0;
    std::uint64_t parts_ = 0;
    std::uint64_t granted_ = 0;
    std::uint64_t unspent_parts_ = 0;
    std::uint64_t late_tokens_ = 0;
    std::uint64_t row_total_parts_ = 0;
    bool has_grant_ = false;
    bool expelled_ = false;
    bool waiting_ = false;
    bool have_row_ = false;
    std::uint64_t epoch_ = 0; ///< in which the row confirmed this holder
    std::uint64_t version_ = 0;
    proto::ShareRow row_;
    bool row_evaluated_ = false; ///< nothing to write since the last look
    milliseconds refresh_{0};
    moment next_read_{};
    moment next_evaluation_{}; ///< when to look again though nothing was told
    moment next_write_{};
    std::map<std::uint64_t, channel> channels_;
    std::map<std::uint64_t, moment> first_seen_;
};

} // namespace tanagerhoist

#endif
