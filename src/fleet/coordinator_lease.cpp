#include "tanagerhoist/fleet/coordinator_lease.hpp"

#include <algorithm>
#include <utility>

namespace tanagerhoist
{
namespace
{

constexpr const char* lease_table = "duty";
constexpr const char* lease_key = "failover";

} // namespace

coordinator_lease::coordinator_lease(row_store& store, proto::MemberRow self,
                                     clock now, structured_log& lines)
    : store_(store), self_(std::move(self)), now_(std::move(now)), lines_(lines)
{
}

bool coordinator_lease::is_own() const
{
    return row_.holder() == self_.vm() && row_.life() == self_.life();
}

/// Upper bound of the store's clock at this moment.
milliseconds coordinator_lease::store_now() const
{
    return store_clock_ + milliseconds(to_ms(now_() - store_clock_at_) + 1);
}

bool coordinator_lease::update(moment last_contact, milliseconds takeover_delay)
{
    if (holding_ && !holds(now_()))
    {
        mark_lost("lease over");
    }
    if (holding_)
    {
        return renew();
    }
    if (now_() >= last_contact + coordinator_timeout)
    {
        read_lease(takeover_delay);
    }
    return true;
}

void coordinator_lease::mark_lost(const char* cause)
{
    holding_ = false;
    held_until_ = moment{};
    lines_.write(log_level::change, "duty_lost",
                 {{"token", std::to_string(row_.token())}, {"cause", cause}});
}

store_answer coordinator_lease::write(const proto::DutyRow& row,
                                      std::uint64_t version)
{
    store_transaction change;
    change.expected.push_back({lease_table, lease_key, "", version, false});
    change.puts.push_back(
        {lease_table, lease_key, row.SerializeAsString(), 0, false});
    auto answer = store_.write(change);
    if (answer.result == store_result::done ||
        answer.result == store_result::conflict)
    {
        store_clock_ = answer.now;
        store_clock_at_ = answer.sent;
    }
    return answer;
}

/// Applies the lease row from a read or a conflict.
/// @return false if the row is missing or can't be decoded
bool coordinator_lease::apply_row(const store_answer& answer)
{
    for (const auto& row : answer.rows)
    {
        if (row.key == lease_key && row.table == lease_table &&
            row.version != 0)
        {
            version_ = row.version;
            if (row_.ParseFromString(row.value))
            {
                return true;
            }
            lines_.write(log_level::change, "row_unreadable",
                         {{"table", lease_table}, {"key", lease_key}});
        }
    }
    return false;
}

bool coordinator_lease::renew()
{
    auto renewed = row_;
    renewed.set_renewed_ms(static_cast<std::uint64_t>(store_now().count()));
    const auto answer = write(renewed, version_);
    if (answer.result == store_result::done)
    {
        row_ = renewed;
        version_ = answer.version;
        held_until_ =
            answer.sent + coordinator_lease_duration - coordinator_lease_margin;
        return true;
    }
    lines_.write(log_level::change, "duty_not_renewed",
                 {{"token", std::to_string(row_.token())},
                  {"cause", store_result_name(answer.result)},
                  {"took_ms", std::to_string(to_ms(now_() - answer.sent))}});
    if (answer.result == store_result::conflict)
    {
        // If the conflict is with an earlier renewal whose answer was lost,
        // this VM still holds the lease.
        if (!apply_row(answer) || !is_own())
        {
            mark_lost("another VM holds it");
        }
    }
    return false;
}

void coordinator_lease::read_lease(milliseconds takeover_delay)
{
    const auto answer = store_.read(lease_table, "");
    if (answer.result != store_result::done)
    {
        return;
    }
    store_clock_ = answer.now;
    store_clock_at_ = answer.sent;
    if (!apply_row(answer))
    {
        row_missing_since_ = row_missing_since_.value_or(now_());
        if (now_() >= *row_missing_since_ + takeover_delay)
        {
            acquire(answer, answer.rows.empty() ? 0 : version_);
        }
        return;
    }
    const auto until = milliseconds(row_.renewed_ms() + row_.lease_ms());
    const bool own_name = row_.holder() == self_.vm();
    const bool released = row_.lease_ms() == 0 && takeover_delay.count() == 0;
    if (own_name || released || answer.now >= until + takeover_delay)
    {
        acquire(answer, version_);
    }
}

void coordinator_lease::acquire(const store_answer& read, std::uint64_t version)
{
    proto::DutyRow taken;
    taken.set_holder(self_.vm());
    taken.set_life(self_.life());
    taken.set_token(row_.token() + (is_own() ? 0 : 1));
    taken.set_renewed_ms(static_cast<std::uint64_t>(read.now.count()));
    taken.set_lease_ms(
        static_cast<std::uint64_t>(coordinator_lease_duration.count()));
    taken.set_address(self_.address());
    taken.set_peer_port(self_.peer_port());
    const auto answer = write(taken, version);
    if (answer.result == store_result::conflict)
    {
        apply_row(answer);
        return;
    }
    if (answer.result != store_result::done)
    {
        return; // the next update reads the outcome
    }
    former_ = row_;
    row_ = taken;
    version_ = answer.version;
    holding_ = true;
    held_until_ =
        answer.sent + coordinator_lease_duration - coordinator_lease_margin;
    lines_.write(log_level::change, "duty_taken",
                 {{"token", std::to_string(row_.token())},
                  {"version", std::to_string(version_)},
                  {"era", std::to_string(answer.era)}});
}

void coordinator_lease::release(
    const std::vector<proto::WorkspaceBalance>& left)
{
    if (!holding_ || !holds(now_()))
    {
        return;
    }
    auto ended = row_;
    ended.set_lease_ms(0);
    ended.set_renewed_ms(static_cast<std::uint64_t>(store_now().count()));
    for (const auto& balance : left)
    {
        *ended.add_left() = balance;
    }
    held_until_ = moment{}; // stops acting before the row is released
    holding_ = false;
    const auto answer = write(ended, version_);
    lines_.write(
        log_level::change, "duty_resigned",
        {{"token", std::to_string(row_.token())},
         {"stored", answer.result == store_result::done ? "yes" : "no"}});
}

} // namespace tanagerhoist
