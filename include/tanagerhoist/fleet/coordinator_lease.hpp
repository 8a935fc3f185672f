#ifndef TANAGERHOIST_FLEET_COORDINATOR_LEASE_HPP
#define TANAGERHOIST_FLEET_COORDINATOR_LEASE_HPP

#include "fleet.pb.h"
#include "tanagerhoist/core/structured_log.hpp"
#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/fleet/row_store.hpp"
#include "tanagerhoist/fleet/store_clock.hpp"
#include "tanagerhoist/fleet/store_era.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace tanagerhoist
{

/// Duration of the lease, counted from each renewal.
constexpr milliseconds coordinator_lease_duration{2800};

/// The holder stops acting this long before its lease expires.
constexpr milliseconds coordinator_lease_margin{600};

/// Part of a term that is left to the platform for reading an order that it
/// has received. Before the next holder can act, the margin adds to it.
constexpr milliseconds order_reading_time{600};

/// Shortest time for the delivery of an order: a lost packet is sent again.
constexpr milliseconds order_delivery_time{400};

/// Interval between renewals by the holder.
constexpr milliseconds coordinator_lease_renewal{900};

/// A VM that has not heard from the coordinator for this long reads the lease
/// row.
constexpr milliseconds coordinator_timeout{1200};

/// One uninterrupted holding of the coordinator lease. Work of the coordinator
/// belongs to the term in which it was begun, and ends with it.
struct coordinator_term
{
    std::uint64_t token = 0; ///< fencing token, of this term only
    /// Version of the fence row, which only the next term's begin changes.
    std::uint64_t fence_version = 0;
};

/// One VM's client for the coordinator lease, which at most one VM holds at a
/// time. The row in the store (table "duty") contains the holder, its fencing
/// token and the store's time of the last renewal. A second row, the fence, is
/// written when a term begins; what the holder writes is conditional on it, so
/// that the store refuses late writes of a former holder. If a write is not
/// answered, its outcome is found by reading the row. If the store comes back
/// from an older copy, the holder goes on with a new token; other VMs leave the
/// lease alone until the claims of holders that the copy does not name are
/// over.
class coordinator_lease
{
public:
    using clock = std::function<moment()>;

    coordinator_lease(row_store& store, proto::MemberRow self, clock now,
                      structured_log& lines);

    /// Reads, acquires or renews the lease, whichever is due.
    /// @param last_contact when the coordinator was last heard from
    /// @param takeover_delay how long this VM leaves a lease that nobody holds
    ///   to other VMs, which may be better suited
    /// @return false if a renewal failed and should be retried
    bool update(moment last_contact,
                milliseconds takeover_delay = milliseconds(0));

    bool holds(moment now) const { return holding_ && now < held_until_; }

    /// The present term; nothing if this VM doesn't hold the lease.
    std::optional<coordinator_term> term() const;

    /// Whether the term still runs. Must be asked again after each wait.
    bool is_current(const coordinator_term& term) const;

    /// Time until this VM must stop acting in the term; zero if it has ended.
    milliseconds time_left(const coordinator_term& term) const;

    /// Whether a promotion may be requested in the term now. Not while one of
    /// an earlier term may still arrive, as the platform must not see a token
    /// go down, and not late in the term, when the platform could read it after
    /// that of the next holder.
    bool may_order(const coordinator_term& term) const;

    /// Notes that a promotion was requested and not answered: the platform may
    /// read the request for some time yet.
    void note_unanswered_order();

    /// Condition that the store adds no term after the given one: for each
    /// write of the holder.
    static store_row fence(const coordinator_term& term);

    /// Whether the current or last holder of the lease is known.
    bool is_holder_known() const { return !row_.holder().empty(); }

    /// The lease row as last read or written, perhaps by another VM; tells
    /// where the holder is. What this VM holds is told by term().
    const proto::DutyRow& row() const { return row_; }

    /// Row of the previous holder, with its remaining balances if it released
    /// the lease.
    const proto::DutyRow& former() const { return former_; }

    /// When the holder first saw the store's era, on the store's clock; zero if
    /// the store has not come back older.
    milliseconds era_since() const { return milliseconds(own_.era_since_ms()); }

    /// Lower bound of the store's present time.
    milliseconds store_time() const { return store_clock_.told(); }

    /// Releases the lease, so that the next holder need not wait for it to
    /// expire, unless an order without an answer may still be read: then the
    /// next holder waits, and gets what is left all the same.
    /// @param left operations that were still to be granted, by workspace
    void release(const std::vector<proto::WorkspaceBalance>& left);

private:
    bool renew();
    store_answer read_rows();
    void note_row(const proto::DutyRow& found);
    void read_lease(milliseconds takeover_delay);
    void resolve_conflict(const store_answer& answer);
    void acquire(const store_answer& read, const proto::DutyRow& former);
    std::optional<proto::DutyRow> find_row(const store_answer& answer);
    proto::DutyRow renewed_row(const store_date& date) const;
    proto::DutyRow lost_row() const;
    bool is_own(const proto::DutyRow& row) const;
    bool is_from_copy(const proto::DutyRow& row) const;
    bool is_restored() const;
    moment former_claims_end() const;
    void extend_claim(const store_date& date);
    moment claim_end_of(const proto::DutyRow& row,
                        const store_answer& read) const;
    void note_answer(const store_answer& answer);
    store_answer write(const proto::DutyRow& row, bool begins_term);
    void mark_lost(const char* cause);

    row_store& store_;
    proto::MemberRow self_;
    clock now_;
    structured_log& lines_;
    proto::DutyRow row_; ///< as last read or written
    proto::DutyRow own_; ///< as last written by this VM
    proto::DutyRow former_;
    std::uint64_t version_ = 0;       ///< of the lease row
    std::uint64_t fence_version_ = 0; ///< of the fence row in this VM's term
    moment held_until_{};
    moment claim_end_{}; ///< others may take the lease from then on
    /// When no request of an earlier term is on its way any more.
    moment orders_from_{};
    /// Until when an order without an answer may still be read.
    moment unanswered_order_until_{};
    bool holding_ = false;
    /// When the row was first missing.
    std::optional<moment> row_missing_since_;
    store_clock store_clock_;
    store_era era_ = 0;             ///< of the newest answer
    moment era_seen_{};             ///< when the first answer of that era came
    std::uint64_t era_seen_ms_ = 0; ///< the same on the store's clock
};

} // namespace tanagerhoist

#endif
