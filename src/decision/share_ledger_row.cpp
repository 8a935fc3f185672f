#include "tanagerhoist/decision/share_ledger.hpp"

#include <algorithm>

namespace tanagerhoist
{

namespace
{

/// Multiple of `reclaim_wait` after which a membership change has been
/// processed.
constexpr int stable_wait_factor = 3;

proto::ShareGrant* find_grant(proto::ShareRow& row, std::uint64_t number)
{
    for (auto& grant : *row.mutable_grant())
    {
        if (grant.number() == number)
        {
            return &grant;
        }
    }
    return nullptr;
}

const proto::ShareGrant* find_grant(const proto::ShareRow& row,
                                    std::uint64_t number)
{
    for (const auto& grant : row.grant())
    {
        if (grant.number() == number)
        {
            return &grant;
        }
    }
    return nullptr;
}

bool has_settled(const proto::ShareGrant& grant, std::uint64_t number)
{
    return std::find(grant.settled().begin(), grant.settled().end(), number) !=
           grant.settled().end();
}

/// Total number of parts in the row. While holders settle, single grants may be
/// negative, stored as two's complement; the sum never is.
std::uint64_t sum(const proto::ShareRow& row)
{
    std::uint64_t total = row.free_parts();
    for (const auto& grant : row.grant())
    {
        total += grant.parts();
    }
    return total;
}

} // namespace

void share_ledger::observe(moment now, std::uint64_t version,
                           const proto::ShareRow& row)
{
    if (have_row_ && version < version_)
    {
        return;
    }
    const bool same = version == version_;
    row_ = row;
    version_ = version;
    have_row_ = true;
    row_evaluated_ = false;
    refresh_ = same && is_stable(now)
                   ? std::min(2 * refresh_, options_.max_refresh_interval)
                   : options_.refresh_interval;
    next_read_ = now + refresh_;
    row_total_parts_ = sum(row);
    for (const auto& grant : row.grant())
    {
        first_seen_.emplace(grant.number(), now);
    }
    observe_own(row);
}

void share_ledger::observe_own(const proto::ShareRow& row)
{
    const auto* own = find_grant(row, self_.number);
    const bool settled = std::any_of(
        row.grant().begin(), row.grant().end(),
        [&](const auto& each) { return has_settled(each, self_.number); });
    if (settled || (has_grant_ && own == nullptr))
    {
        expelled_ = true;
        return;
    }
    if (own == nullptr)
    {
        return;
    }
    has_grant_ = true;
    observe_settled(*own);
    // Only this holder changes its own grant. `observe_settled` has already
    // accounted for settled balances, so the remaining difference is new.
    parts_ += own->parts() - granted_;
    granted_ = own->parts();
    for (auto& [number, channel] : channels_)
    {
        if (is_giver_valid(number, channel))
        {
            late_tokens_ += credit(channel).tokens();
        }
    }
}

void share_ledger::observe_settled(const proto::ShareGrant& own)
{
    for (auto& [number, channel] : channels_)
    {
        if (channel.settling_version == 0 || channel.closed)
        {
            continue;
        }
        // A peer's grant is only removed after this holder has settled with
        // it, so a missing grant means that the settlement took effect.
        if (has_settled(own, number) || find_grant(row_, number) == nullptr)
        {
            channel.closed = true;
            granted_ += channel.received_parts - channel.given_parts;
        }
        else if (version_ > channel.settling_version)
        {
            channel.settling_version = 0; // the compare-and-set failed
        }
    }
}

bool share_ledger::gone(const std::string& vm, std::uint64_t number,
                        moment now) const
{
    const auto seen = first_seen_.find(number);
    return members_.gone(vm, number, now) &&
           (seen == first_seen_.end() ||
            now - seen->second >= options_.reclaim_wait);
}

/// Whether the row has never had a grant. A grant is only removed by another
/// holder, which then has one itself.
bool share_ledger::is_unused_row(const proto::ShareRow& row)
{
    return row.grant().empty() && row.free_parts() == 0;
}

/// Whether no settlement is pending, nothing is free, and the last membership
/// change was long enough ago that its gone holders have been processed.
bool share_ledger::is_stable(moment now) const
{
    const bool unsettled = std::any_of(row_.grant().begin(), row_.grant().end(),
                                       [](const auto& grant)
                                       { return grant.settled_size() != 0; });
    return !unsettled && row_.free_parts() == 0 &&
           now - members_.last_change() >=
               stable_wait_factor * options_.reclaim_wait;
}

proto::ShareRow share_ledger::next_row(moment now)
{
    proto::ShareRow row = row_;
    const std::uint64_t total = sum(row);
    if (is_unused_row(row))
    {
        row.set_free_tokens(total_parts_);
    }
    if (total < total_parts_)
    {
        row.set_free_parts(row.free_parts() + total_parts_ - total);
    }
    if (!add_own_grant(row))
    {
        return row_;
    }
    add_gone_receivers(now, row);
    settle(now, row);
    reclaim(now, row);
    take_free_parts(row);
    return row;
}

bool share_ledger::add_own_grant(proto::ShareRow& row)
{
    if (find_grant(row, self_.number) != nullptr)
    {
        return true;
    }
    for (const auto& [number, channel] : channels_)
    {
        if (channel.received_parts != 0 && find_grant(row, number) == nullptr)
        {
            expelled_ = true; // the parts received may have been reclaimed
            return false;
        }
    }
    auto& own = *row.add_grant();
    own.set_number(self_.number);
    own.set_vm(self_.vm);
    return true;
}

void share_ledger::add_gone_receivers(moment now, proto::ShareRow& row) const
{
    for (const auto& [number, channel] : channels_)
    {
        if (!channel.closed && channel.given_parts != 0 &&
            find_grant(row, number) == nullptr && gone(channel.vm, number, now))
        {
            auto& grant = *row.add_grant();
            grant.set_number(number);
            grant.set_vm(channel.vm);
        }
    }
}

void share_ledger::settle(moment now, proto::ShareRow& row)
{
    auto* own = find_grant(row, self_.number);
    for (auto& grant : *row.mutable_grant())
    {
        if (grant.number() == self_.number ||
            has_settled(*own, grant.number()) ||
            !gone(grant.vm(), grant.number(), now))
        {
            continue;
        }
        auto& channel = channels_[grant.number()];
        channel.vm = grant.vm();
        channel.settling_version = std::max<std::uint64_t>(version_, 1);
        const std::uint64_t owed = channel.given_parts - channel.received_parts;
        grant.set_parts(grant.parts() + owed);
        own->set_parts(own->parts() - owed);
        own->add_settled(grant.number());
    }
}

bool share_ledger::all_settled(const proto::ShareRow& row,
                               const std::set<std::uint64_t>& gone,
                               moment now) const
{
    std::set<std::string> present;
    for (const auto& grant : row.grant())
    {
        if (gone.count(grant.number()) != 0)
        {
            continue;
        }
        present.insert(grant.vm());
        if (!std::all_of(gone.begin(), gone.end(),
                         [&](std::uint64_t number)
                         { return has_settled(grant, number); }))
        {
            return false;
        }
    }
    // A VM without a grant may hold parts received from a gone holder.
    const auto vms = members_.recently_listed(now);
    return std::all_of(vms.begin(), vms.end(),
                       [&](const std::string& vm)
                       { return present.count(vm) != 0; });
}

void share_ledger::reclaim(moment now, proto::ShareRow& row) const
{
    std::set<std::uint64_t> lost;
    for (const auto& grant : row.grant())
    {
        if (grant.number() != self_.number &&
            gone(grant.vm(), grant.number(), now))
        {
            lost.insert(grant.number());
        }
    }
    if (lost.empty() || !all_settled(row, lost, now))
    {
        return;
    }
    proto::ShareRow next;
    next.set_free_parts(row.free_parts());
    next.set_free_tokens(row.free_tokens());
    for (const auto& grant : row.grant())
    {
        if (lost.count(grant.number()) != 0)
        {
            next.set_free_parts(next.free_parts() + grant.parts());
            continue;
        }
        auto& kept = *next.add_grant();
        kept = grant;
        kept.clear_settled();
        for (const std::uint64_t number : grant.settled())
        {
            if (lost.count(number) == 0)
            {
                kept.add_settled(number);
            }
        }
    }
    row = next;
}

void share_ledger::take_free_parts(proto::ShareRow& row) const
{
    const std::uint64_t holders =
        std::max<std::size_t>(members_.listed_count(), 1);
    const std::uint64_t target = (sum(row) + holders - 1) / holders;
    if (parts_ < target && row.free_parts() != 0)
    {
        const std::uint64_t taken = std::min(target - parts_, row.free_parts());
        auto* own = find_grant(row, self_.number);
        own->set_parts(own->parts() + taken);
        row.set_free_parts(row.free_parts() - taken);
        row.set_free_tokens(row.free_tokens() -
                            std::min(taken, row.free_tokens()));
    }
}

} // namespace tanagerhoist
