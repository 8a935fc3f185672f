#include "tanagerhoist/fleet/member_registration.hpp"

#include "tanagerhoist/fleet/fleet_members.hpp"
#include "tanagerhoist/fleet/row_conflict.hpp"

#include <utility>

namespace tanagerhoist
{

member_registration::member_registration(row_store& store,
                                         proto::MemberRow self, clock now)
    : store_(store), self_(std::move(self)), now_(std::move(now))
{
}

void member_registration::use_read(const store_answer& read,
                                   std::uint64_t version)
{
    store_clock_.note(read);
    version_ = version;
}

member_registration::renewal
member_registration::write(std::vector<store_row> conditions)
{
    const auto date = store_clock_.date(now_());
    auto row = self_;
    row.set_store_ms(static_cast<std::uint64_t>(date.store.count()));
    renewal done;
    done.change.expected.push_back(
        {member_table, row.vm(), "", version_, false});
    for (auto& condition : conditions)
    {
        done.change.expected.push_back(std::move(condition));
    }
    done.change.puts.push_back(
        {member_table, row.vm(), row.SerializeAsString(), 0, false});
    done.answer = store_.write(done.change);
    done.lease_from = date.own;
    if (done.answer.result == store_result::done ||
        done.answer.result == store_result::restored)
    {
        version_ = done.answer.version;
        store_clock_.note(done.answer);
    }
    else if (done.answer.result == store_result::conflict)
    {
        version_ = version_after_conflict(done.change, done.answer,
                                          done.change.expected.front());
    }
    return done;
}

store_result member_registration::remove(row_store& store) const
{
    auto answer = store.write(removal_of(version_));
    if (answer.result == store_result::conflict)
    {
        const auto version = own_version(answer);
        answer = version ? store.write(removal_of(*version)) : answer;
    }
    return answer.result;
}

store_transaction member_registration::removal_of(std::uint64_t version) const
{
    store_transaction change;
    change.expected.push_back({member_table, self_.vm(), "", version, false});
    change.removals.push_back({member_table, self_.vm(), "", 0, false});
    return change;
}

/// Version of the row in a conflict, if this process wrote it: a renewal that
/// has not been answered.
std::optional<std::uint64_t>
member_registration::own_version(const store_answer& conflict) const
{
    for (const auto& row : conflict.rows)
    {
        proto::MemberRow found;
        const bool own = row.table == member_table && row.key == self_.vm() &&
                         found.ParseFromString(row.value) &&
                         found.life() == self_.life();
        if (own)
        {
            return row.version;
        }
    }
    return std::nullopt;
}

} // namespace tanagerhoist
