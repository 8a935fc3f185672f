#ifndef TANAGERHOIST_FLEET_COORDINATOR_LEASE_HPP
#define TANAGERHOIST_FLEET_COORDINATOR_LEASE_HPP

#include "fleet.pb.h"
#include "tanagerhoist/core/journal.hpp"
#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/fleet/row_store.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace tanagerhoist
{

/// How long the duty stays with its holder after a renewal.
constexpr milliseconds coordinator_lease_duration{2800};

/// How long before the end of its lease the holder stops to act.
constexpr milliseconds coordinator_lease_margin{600};

constexpr milliseconds coordinator_lease_renewal{900};

/// A VM without news from the holder for this long looks at the duty's row.
constexpr milliseconds coordinator_timeout{1200};

/// One VM's side of the duty, which at most one VM holds at a time. The row in
/// the store carries holder, fencing token and the time of its renewal on the
/// store's clock. Answers that are missing are resolved by reading the row.
class coordinator_lease
{
public:
    using clock = std::function<moment()>;

    coordinator_lease(row_store& store, proto::MemberRow self, clock now,
                      journal& lines);

    /// Reads, takes or renews, whichever is due.
    /// @param last_contact when the holder was last heard from
    /// @param takeover_delay how long this VM leaves a duty that nobody holds
    /// to other VMs, which may be better suited
    /// @return false if a renewal did not succeed and is to be tried again
    bool update(moment last_contact,
                milliseconds takeover_delay = milliseconds(0));

    bool holds(moment now) const { return now < held_until_; }

    /// Whether it is known who holds the duty, or held it last.
    bool is_holder_known() const { return !row_.holder().empty(); }

    /// The duty as last read or written.
    const proto::DutyRow& row() const { return row_; }

    /// What the former holder had left, if it gave the duty back.
    const proto::DutyRow& former() const { return former_; }

    /// Gives the duty back, so that the next holder need not wait.
    /// @param left what the holder had left to grant
    void release(const std::vector<proto::WorkspaceBalance>& left);

private:
    bool renew();
    void read_lease(milliseconds takeover_delay);
    void acquire(const store_answer& read, std::uint64_t version);
    bool apply_row(const store_answer& answer);
    bool is_own() const;
    store_answer write(const proto::DutyRow& row, std::uint64_t version);
    milliseconds store_now() const;
    void mark_lost(const char* cause);

    row_store& store_;
    proto::MemberRow self_;
    clock now_;
    journal& lines_;
    proto::DutyRow row_;
    proto::DutyRow former_;
    std::uint64_t version_ = 0;
    moment held_until_{};
    bool holding_ = false;
    std::optional<moment>
        row_missing_since_;       ///< when the row was first missing
    milliseconds store_clock_{0}; ///< in the newest answer
    moment store_clock_at_{};     ///< when that call was sent
};

} // namespace tanagerhoist

#endif
