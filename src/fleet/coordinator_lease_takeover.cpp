#include "tanagerhoist/fleet/coordinator_lease.hpp"

#include <algorithm>

// How a VM takes the lease that it doesn't hold.
namespace tanagerhoist
{

void coordinator_lease::read_lease(milliseconds takeover_delay)
{
    const auto answer = read_rows();
    if (answer.result != store_result::done)
    {
        return;
    }
    note_answer(answer);
    const auto found = find_row(answer);
    if (found ? is_from_copy(*found) : is_restored())
    {
        if (now_() >= former_claims_end() + takeover_delay)
        {
            acquire(answer, lost_row());
        }
        return;
    }
    if (!found)
    {
        row_missing_since_ = row_missing_since_.value_or(now_());
        if (now_() >= *row_missing_since_ + takeover_delay)
        {
            acquire(answer, row_);
        }
        return;
    }
    note_row(*found);
    const auto until = milliseconds(row_.renewed_ms() + row_.lease_ms());
    const bool own_name = row_.holder() == self_.vm();
    const bool released = row_.lease_ms() == 0 && takeover_delay.count() == 0;
    if (own_name || released || answer.now >= until + takeover_delay)
    {
        acquire(answer, row_);
    }
}

/// When the claims of all holders from before the store came back older are
/// over. If that was during this VM's own claim, there was no later holder.
moment coordinator_lease::former_claims_end() const
{
    return era_seen_ < claim_end_ ? era_seen_
                                  : era_seen_ + coordinator_lease_duration;
}

/// Stands for the row of a holder that the store has lost: it has no balances,
/// and no token above those of the current era.
proto::DutyRow coordinator_lease::lost_row() const
{
    proto::DutyRow row;
    row.set_token(numbered_in(era_, 0));
    row.set_era_since_ms(era_seen_ms_);
    return row;
}

/// When the claim of a row that was just read ends, or shortly after; an early
/// moment if it has ended, as that of any other VM has.
moment coordinator_lease::claim_end_of(const proto::DutyRow& row,
                                       const store_answer& read) const
{
    const milliseconds until(row.renewed_ms() + row.lease_ms());
    const bool released = row.lease_ms() == 0;
    return released || until <= read.now ? moment{}
                                         : now_() + (until - read.now);
}

/// Writes this VM as the holder, over the row that was just read.
/// @param former the row of the previous holder
void coordinator_lease::acquire(const store_answer& read,
                                const proto::DutyRow& former)
{
    const auto orders_from =
        std::max({orders_from_, claim_end_, claim_end_of(former, read)});
    const auto date = store_clock_.date(now_());
    proto::DutyRow taken;
    taken.set_holder(self_.vm());
    taken.set_life(self_.life());
    taken.set_token(next_number(std::max(former.token(), own_.token()), era_));
    taken.set_era_since_ms(former.era_since_ms());
    taken.set_renewed_ms(static_cast<std::uint64_t>(date.store.count()));
    taken.set_lease_ms(
        static_cast<std::uint64_t>(coordinator_lease_duration.count()));
    taken.set_address(self_.address());
    taken.set_peer_port(self_.peer_port());
    const auto answer = write(taken, true);
    if (answer.result == store_result::conflict)
    {
        note_row(find_row(answer).value_or(row_));
        return;
    }
    if (answer.result != store_result::done || answer.era != read.era)
    {
        return; // the next update reads the outcome
    }
    former_ = former;
    own_ = taken;
    row_ = taken;
    version_ = answer.version;
    fence_version_ = answer.version;
    holding_ = true;
    orders_from_ = orders_from;
    extend_claim(date);
    lines_.write(log_level::change, "duty_taken",
                 {{"token", std::to_string(own_.token())},
                  {"version", std::to_string(version_)},
                  {"era", std::to_string(answer.era)}});
}

} // namespace tanagerhoist
