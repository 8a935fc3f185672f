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
    /// Upper bound of the interval, which doubles while neither the row nor the
    /// VMs change.
    milliseconds max_refresh_interval{64000};
    milliseconds retry_interval{100};
    milliseconds call_timeout{1000};
    /// Minimum time from first seeing a holder's grant to reclaiming it.
    milliseconds reclaim_wait{5000};
};

/// Ledger of one holder for one conserved resource.
///
/// A holder owns what the table row `share/RESOURCE` grants it, plus what it
/// received from peers, minus what it gave to them. The sum over all holders,
/// `free_parts` and the messages in flight is invariant.
///
/// A transfer is debited before its message is sent. Each message carries the
/// cumulative total from one incarnation to another, and the receiver credits
/// the difference to the total it already knows. Duplicate and reordered
/// messages therefore credit nothing, and the next message makes up for a lost
/// one, for parts and tokens alike.
///
/// Reclaiming: each live holder moves its balance with a gone holder into the
/// row, in the same compare-and-set that marks the two as settled, and ignores
/// that holder's messages from then on. Once all live holders have settled with
/// all gone ones, the grants of the gone ones are all that they hold, and
/// become free parts.
class share_ledger
{
public:
    share_ledger(const identity& self, const membership& members,
                 std::string resource, share_ledger_options options);

    /// Sets the total number of parts of the resource.
    void set_total_parts(std::uint64_t total_parts);

    /// Whether `on_tick` has nothing to do in the near future, provided that no
    /// other function is called in between.
    bool idle(std::uint64_t epoch) const;

    /// Reads or writes the row if necessary.
    /// @param epoch number of times that this incarnation was unconfirmed
    /// @param may_access_row false while it is unconfirmed, and for some time
    ///   after that
    void on_tick(moment now, std::uint64_t epoch, bool may_access_row,
                 outbox& out);

    /// Resets to an empty ledger after this incarnation's number has changed.
    void reset();

    /// Number of parts held.
    std::uint64_t parts() const { return parts_; }

    /// Returns and clears the number of unspent parts taken from the row since
    /// the last call: parts that no holder had before. They come with a full
    /// bucket; `free_tokens` of the row counts those not yet taken.
    std::uint64_t take_unspent_parts();

    /// Returns and clears the tokens credited since the last call for messages
    /// that arrived before the row had a grant of their sender.
    std::uint64_t take_late_tokens();

    /// Sum of all parts in the row; 0 until it has been read.
    std::uint64_t row_total_parts() const { return row_total_parts_; }

    /// Whether the parts held may be used or transferred in `epoch`.
    bool usable(std::uint64_t epoch) const;

    /// Whether parts may be transferred to `to`. Requires an own grant in the
    /// row and an open channel.
    bool may_give(std::uint64_t epoch, const proto::Incarnation& to) const;

    /// Whether this incarnation has never held anything.
    bool is_unused() const { return !has_grant_ && !has_received(); }

    /// Whether another holder has settled with this incarnation, or its
    /// holdings may have been reclaimed. It must never use them again.
    bool expelled() const { return expelled_; }

    /// Debits `given` and returns the message that transfers it to `to`. With
    /// an empty slice, the message repeats the cumulative total.
    proto::SliceGive give(const proto::Incarnation& to, proto::Slice given,
                          std::uint64_t ask);

    /// Credits and returns the increase of the cumulative total in `message`. A
    /// transfer from a giver without a grant in the row is credited once the
    /// row has one.
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
        /// Latest totals received; credited once the giver is valid.
        std::uint64_t announced_parts = 0;
        std::uint64_t announced_tokens = 0;
        /// Row version that the pending settlement was based on; 0: none.
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
    std::uint64_t epoch_ = 0; ///< in which the row last confirmed this holder
    std::uint64_t version_ = 0;
    proto::ShareRow row_;
    bool row_evaluated_ = false; ///< against the current state
    milliseconds refresh_{0};
    moment next_read_{};
    moment next_evaluation_{}; ///< even if nothing has changed
    moment next_write_{};
    std::map<std::uint64_t, channel> channels_;
    std::map<std::uint64_t, moment> first_seen_;
};

} // namespace tanagerhoist

#endif
