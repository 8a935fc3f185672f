#include "tanagerhoist/fleet/duty_keeper.hpp"

#include <algorithm>
#include <utility>

namespace tanagerhoist
{
namespace
{

constexpr const char* duty_table = "duty";
constexpr const char* duty_key = "failover";

} // namespace

duty_keeper::duty_keeper(row_store& store, proto::MemberRow self, clock now,
                         journal& lines)
    : store_(store), self_(std::move(self)), now_(std::move(now)), lines_(lines)
{
}

bool duty_keeper::is_own() const
{
    return row_.holder() == self_.vm() && row_.life() == self_.life();
}

/// The store's clock now, at the latest that it can be.
milliseconds duty_keeper::store_now() const
{
    return store_clock_ + milliseconds(to_ms(now_() - store_clock_at_) + 1);
}

bool duty_keeper::step(moment heard, milliseconds patience)
{
    if (holding_ && !holds(now_()))
    {
        lose("lease over");
    }
    if (holding_)
    {
        return renew();
    }
    if (now_() >= heard + duty_silence)
    {
        look(patience);
    }
    return true;
}

void duty_keeper::lose(const char* cause)
{
    holding_ = false;
    held_until_ = moment{};
    lines_.write(journal_level::change, "duty_lost",
                 {{"token", std::to_string(row_.token())}, {"cause", cause}});
}

store_answer duty_keeper::write(const proto::DutyRow& row,
                                std::uint64_t version)
{
    store_transaction change;
    change.expected.push_back({duty_table, duty_key, "", version, false});
    change.puts.push_back(
        {duty_table, duty_key, row.SerializeAsString(), 0, false});
    auto answer = store_.write(change);
    if (answer.result == store_result::done ||
        answer.result == store_result::conflict)
    {
        store_clock_ = answer.now;
        store_clock_at_ = answer.sent;
    }
    return answer;
}

/// Takes in the duty's row from a read or a conflict.
/// @return false if there is none that can be read
bool duty_keeper::take_in(const store_answer& answer)
{
    for (const auto& row : answer.rows)
    {
        if (row.key == duty_key && row.table == duty_table && row.version != 0)
        {
            version_ = row.version;
            if (row_.ParseFromString(row.value))
            {
                return true;
            }
            lines_.write(journal_level::change, "row_unreadable",
                         {{"table", duty_table}, {"key", duty_key}});
        }
    }
    return false;
}

bool duty_keeper::renew()
{
    auto renewed = row_;
    renewed.set_renewed_ms(static_cast<std::uint64_t>(store_now().count()));
    const auto answer = write(renewed, version_);
    if (answer.result == store_result::done)
    {
        row_ = renewed;
        version_ = answer.version;
        held_until_ = answer.sent + duty_lease - duty_margin;
        return true;
    }
    lines_.write(journal_level::change, "duty_not_renewed",
                 {{"token", std::to_string(row_.token())},
                  {"cause", store_result_name(answer.result)},
                  {"took_ms", std::to_string(to_ms(now_() - answer.sent))}});
    if (answer.result == store_result::conflict)
    {
        // A renewal whose answer was lost leaves the row ours.
        if (!take_in(answer) || !is_own())
        {
            lose("another VM holds it");
        }
    }
    return false;
}

void duty_keeper::look(milliseconds patience)
{
    const auto answer = store_.read(duty_table, "");
    if (answer.result != store_result::done)
    {
        return;
    }
    store_clock_ = answer.now;
    store_clock_at_ = answer.sent;
    if (!take_in(answer))
    {
        unclaimed_since_ = unclaimed_since_.value_or(now_());
        if (now_() >= *unclaimed_since_ + patience)
        {
            take(answer, answer.rows.empty() ? 0 : version_);
        }
        return;
    }
    const auto until = milliseconds(row_.renewed_ms() + row_.lease_ms());
    const bool own_name = row_.holder() == self_.vm();
    const bool resigned = row_.lease_ms() == 0 && patience.count() == 0;
    if (own_name || resigned || answer.now >= until + patience)
    {
        take(answer, version_);
    }
}

void duty_keeper::take(const store_answer& read, std::uint64_t version)
{
    proto::DutyRow taken;
    taken.set_holder(self_.vm());
    taken.set_life(self_.life());
    taken.set_token(row_.token() + (is_own() ? 0 : 1));
    taken.set_renewed_ms(static_cast<std::uint64_t>(read.now.count()));
    taken.set_lease_ms(static_cast<std::uint64_t>(duty_lease.count()));
    taken.set_address(self_.address());
    taken.set_peer_port(self_.peer_port());
    const auto answer = write(taken, version);
    if (answer.result == store_result::conflict)
    {
        take_in(answer);
        return;
    }
    if (answer.result != store_result::done)
    {
        return; // the next step reads what became of it
    }
    former_ = row_;
    row_ = taken;
    version_ = answer.version;
    holding_ = true;
    held_until_ = answer.sent + duty_lease - duty_margin;
    lines_.write(journal_level::change, "duty_taken",
                 {{"token", std::to_string(row_.token())}});
}

void duty_keeper::resign(const std::vector<proto::WorkspaceBalance>& left)
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
    held_until_ = moment{}; // before the row says so
    holding_ = false;
    const auto answer = write(ended, version_);
    lines_.write(
        journal_level::change, "duty_resigned",
        {{"token", std::to_string(row_.token())},
         {"stored", answer.result == store_result::done ? "yes" : "no"}});
}

} // namespace tanagerhoist
