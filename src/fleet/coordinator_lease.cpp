#include "tanagerhoist/fleet/coordinator_lease.hpp"

#include "tanagerhoist/fleet/store_era.hpp"

#include <algorithm>
#include <utility>

namespace tanagerhoist
{
namespace
{

constexpr const char* lease_table = "duty";
constexpr const char* lease_key = "failover";
constexpr const char* fence_key = "fence";

} // namespace

coordinator_lease::coordinator_lease(row_store& store, proto::MemberRow self,
                                     clock now, structured_log& lines)
    : store_(store), self_(std::move(self)), now_(std::move(now)), lines_(lines)
{
}

bool coordinator_lease::is_own(const proto::DutyRow& row) const
{
    return row.holder() == self_.vm() && row.life() == self_.life();
}

/// Whether the row was written before the store came back older, so that a
/// later holder may have been lost with the rest.
bool coordinator_lease::is_from_copy(const proto::DutyRow& row) const
{
    return is_of_ended_era(row.token(), era_);
}

/// Whether the store has come back older at least once.
bool coordinator_lease::is_restored() const
{
    return era_ > first_store_era;
}

/// Notes that the row was written.
/// @param date that of the row; the call may have been sent much later
void coordinator_lease::extend_claim(const store_date& date)
{
    claim_end_ = date.own + coordinator_lease_duration;
    held_until_ = claim_end_ - coordinator_lease_margin;
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

std::optional<coordinator_term> coordinator_lease::term() const
{
    if (!holds(now_()))
    {
        return std::nullopt;
    }
    return coordinator_term{own_.token(), fence_version_};
}

bool coordinator_lease::is_current(const coordinator_term& term) const
{
    return holds(now_()) && term.token == own_.token();
}

milliseconds coordinator_lease::time_left(const coordinator_term& term) const
{
    if (!is_current(term))
    {
        return milliseconds(0);
    }
    return std::chrono::duration_cast<milliseconds>(held_until_ - now_());
}

bool coordinator_lease::may_order(const coordinator_term& term) const
{
    return now_() >= orders_from_ &&
           time_left(term) >= order_reading_time + order_delivery_time;
}

/// As long as a lease that is not released would keep the next holder from
/// ordering.
void coordinator_lease::note_unanswered_order()
{
    unanswered_order_until_ = now_() + coordinator_lease_duration;
}

store_row coordinator_lease::fence(const coordinator_term& term)
{
    return {lease_table, fence_key, "", term.fence_version, false};
}

/// Notes the lease row that the store shows.
void coordinator_lease::note_row(const proto::DutyRow& found)
{
    if (found.token() != row_.token() && !is_own(found))
    {
        lines_.write(log_level::change, "duty_seen",
                     {{"holder", found.holder()},
                      {"token", std::to_string(found.token())},
                      {"before", std::to_string(row_.token())}});
    }
    row_ = found;
}

void coordinator_lease::mark_lost(const char* cause)
{
    holding_ = false;
    held_until_ = moment{};
    lines_.write(log_level::change, "duty_lost",
                 {{"token", std::to_string(own_.token())}, {"cause", cause}});
}

/// Writes the lease row, and the fence if a term begins with it.
store_answer coordinator_lease::write(const proto::DutyRow& row,
                                      bool begins_term)
{
    const auto text = row.SerializeAsString();
    store_transaction change;
    change.expected.push_back({lease_table, lease_key, "", version_, false});
    change.puts.push_back({lease_table, lease_key, text, 0, false});
    if (begins_term)
    {
        change.puts.push_back({lease_table, fence_key, text, 0, false});
    }
    auto answer = store_.write(change);
    if (answer.result == store_result::done ||
        answer.result == store_result::conflict ||
        answer.result == store_result::restored)
    {
        note_answer(answer);
    }
    return answer;
}

/// Notes the store's clock and era.
void coordinator_lease::note_answer(const store_answer& answer)
{
    store_clock_.note(answer);
    if (answer.era > era_)
    {
        era_ = answer.era;
        era_seen_ = now_();
        era_seen_ms_ = static_cast<std::uint64_t>(answer.now.count());
    }
}

store_answer coordinator_lease::read_rows()
{
    return store_.read(lease_table, "");
}

/// Finds the lease row in a read or a conflict, and notes its version.
/// @return nothing if the row is missing or can't be decoded
std::optional<proto::DutyRow>
coordinator_lease::find_row(const store_answer& answer)
{
    version_ = 0;
    for (const auto& row : answer.rows)
    {
        if (row.key == lease_key && row.table == lease_table &&
            row.version != 0)
        {
            version_ = row.version;
            proto::DutyRow found;
            if (found.ParseFromString(row.value))
            {
                return found;
            }
            lines_.write(log_level::change, "row_unreadable",
                         {{"table", lease_table}, {"key", lease_key}});
        }
    }
    return std::nullopt;
}

/// The row with which this VM goes on as holder. In a new era it gets a new
/// token, as those of the copy are given out again.
proto::DutyRow coordinator_lease::renewed_row(const store_date& date) const
{
    auto renewed = own_;
    renewed.set_renewed_ms(static_cast<std::uint64_t>(date.store.count()));
    if (is_from_copy(renewed))
    {
        renewed.set_token(next_number(renewed.token(), era_));
        renewed.set_era_since_ms(era_seen_ms_);
    }
    return renewed;
}

bool coordinator_lease::renew()
{
    const auto date = store_clock_.date(now_());
    const auto renewed = renewed_row(date);
    const bool begins_term = renewed.token() != own_.token();
    const auto answer = write(renewed, begins_term);
    if (answer.result == store_result::done && !holds(now_()))
    {
        version_ = answer.version;
        mark_lost("renewed too late"); // its work has ended meanwhile
        return false;
    }
    if (answer.result == store_result::done && !is_from_copy(renewed))
    {
        if (begins_term)
        {
            former_ = own_; // which has left nothing
            orders_from_ = std::max(orders_from_, claim_end_);
        }
        own_ = renewed;
        row_ = renewed;
        version_ = answer.version;
        fence_version_ = begins_term ? answer.version : fence_version_;
        extend_claim(date);
        return true;
    }
    lines_.write(log_level::change, "duty_not_renewed",
                 {{"token", std::to_string(own_.token())},
                  {"cause", store_result_name(answer.result)},
                  {"took_ms", std::to_string(to_ms(now_() - answer.sent))}});
    if (answer.result == store_result::conflict)
    {
        resolve_conflict(answer);
    }
    else if (answer.result == store_result::done ||
             answer.result == store_result::restored)
    {
        version_ = answer.version; // written in an era that it does not name
    }
    return false;
}

/// This VM still holds the lease if the conflict is with an earlier renewal
/// whose answer was lost, or with a row of the copy that the store came back
/// from: nobody else takes the lease until this VM's claim is over.
void coordinator_lease::resolve_conflict(const store_answer& answer)
{
    const auto found = find_row(answer);
    const bool lost_by_restore =
        is_from_copy(own_) &&
        (version_ == 0 || (found && is_from_copy(*found)));
    if (lost_by_restore)
    {
        return;
    }
    if (found)
    {
        note_row(*found);
    }
    if (!found || !is_own(*found))
    {
        mark_lost("another VM holds it");
    }
}

void coordinator_lease::release(
    const std::vector<proto::WorkspaceBalance>& left)
{
    if (!holding_ || !holds(now_()))
    {
        return;
    }
    const bool unanswered = now_() < unanswered_order_until_;
    auto ended = own_;
    if (!unanswered)
    {
        const auto date = store_clock_.date(now_());
        ended.set_renewed_ms(static_cast<std::uint64_t>(date.store.count()));
        ended.set_lease_ms(0);
    }
    for (const auto& balance : left)
    {
        *ended.add_left() = balance;
    }
    held_until_ = moment{}; // stops acting before the row is released
    holding_ = false;
    const auto answer = write(ended, false);
    lines_.write(
        log_level::change, "duty_resigned",
        {{"token", std::to_string(own_.token())},
         {"stored", answer.result == store_result::done ? "yes" : "no"},
         {"order_unanswered", unanswered ? "yes" : "no"}});
}

} // namespace tanagerhoist
