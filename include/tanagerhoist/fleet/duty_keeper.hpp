#ifndef TANAGERHOIST_FLEET_DUTY_KEEPER_HPP
#define TANAGERHOIST_FLEET_DUTY_KEEPER_HPP

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
constexpr milliseconds duty_lease{2800};

/// How long before the end of its lease the holder stops to act.
constexpr milliseconds duty_margin{600};

constexpr milliseconds duty_renewal{900};

/// A VM without news from the holder for this long looks at the duty's row.
constexpr milliseconds duty_silence{1200};

/// One VM's side of the duty, which at most one VM holds at a time. The row in
/// the store carries holder, fencing token and the time of its renewal on the
/// store's clock. Answers that are missing are resolved by reading the row.
class duty_keeper
{
public:
    using clock = std::function<moment()>;

    duty_keeper(row_store& store, proto::MemberRow self, clock now,
                journal& lines);

    /// Reads, takes or renews, whichever is due.
    /// @param heard when the holder was last heard from
    /// @param patience how long this VM leaves a duty that nobody holds to
    ///                 others, which may be better fit for it
    /// @return false if a renewal did not succeed and is to be tried again
    bool step(moment heard, milliseconds patience = milliseconds(0));

    bool holds(moment now) const { return now < held_until_; }

    /// Whether it is known who holds the duty, or held it last.
    bool knows_holder() const { return !row_.holder().empty(); }

    /// The duty as last read or written.
    const proto::DutyRow& row() const { return row_; }

    /// What the former holder had left, if it gave the duty back.
    const proto::DutyRow& former() const { return former_; }

    /// Gives the duty back, so that the next holder need not wait.
    /// @param left what the holder had left to grant
    void resign(const std::vector<proto::WorkspaceBalance>& left);

private:
    bool renew();
    void look(milliseconds patience);
    void take(const store_answer& read, std::uint64_t version);
    bool take_in(const store_answer& answer);
    bool is_own() const;
    store_answer write(const proto::DutyRow& row, std::uint64_t version);
    milliseconds store_now() const;
    void lose(const char* cause);

    row_store& store_;
    proto::MemberRow self_;
    clock now_;
    journal& lines_;
    proto::DutyRow row_;
    proto::DutyRow former_;
    std::uint64_t version_ = 0;
    moment held_until_{};
    bool holding_ = false;
    std::optional<moment> unclaimed_since_; ///< when no row was found first
    milliseconds store_clock_{0};           ///< of the newest answer
    moment store_clock_at_{};               ///< when that call was sent
};

} // namespace tanagerhoist

#endif
