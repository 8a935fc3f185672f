#include "tanagerhoist/decision/limiter.hpp"

#include <algorithm>
#include <utility>

namespace tanagerhoist
{

namespace
{

constexpr milliseconds max_retry_after{1000};

// Statements beyond a server's slots wait inside it, first come, first served,
// regardless of the weights of the workspaces.
constexpr std::uint64_t connections_per_slot = 2;
constexpr std::uint64_t min_connections = 8; // so that most VMs get one

/// Fraction of all resources that a tick visits in rotation, as a divisor.
constexpr std::size_t visited_divisor = 128;

std::string workspace_resource(const std::string& name)
{
    return "workspace/" + name;
}

std::string server_resource(const std::string& name)
{
    return "server/" + name;
}

} // namespace

std::uint64_t
effective_connection_limit(const proto::DatabaseSettings& database)
{
    return std::min(
        database.connections(),
        std::max(min_connections, connections_per_slot * database.slots()));
}

limiter::limiter(const identity& self, const membership& members,
                 limiter_options options, std::unique_ptr<slice_policy> policy)
    : self_(self),
      members_(members),
      options_(options),
      policy_(std::move(policy))
{
}

limiter::resource& limiter::at(const std::string& name)
{
    return resources_.try_emplace(name, self_, members_, name, options_.ledger)
        .first->second;
}

limiter::resource* limiter::find(const std::string& name)
{
    const auto found = resources_.find(name);
    return found == resources_.end() ? nullptr : &found->second;
}

const limiter::resource* limiter::find(const std::string& name) const
{
    const auto found = resources_.find(name);
    return found == resources_.end() ? nullptr : &found->second;
}

void limiter::use_settings(moment now, const settings_view& settings,
                           outbox& /*out*/)
{
    for (auto& [unused, each] : resources_)
    {
        each.whole = 0; // unless set again below
        each.burst = 0;
        each.bucket.use_share(now, 0, 0, 0);
    }
    for (const auto& workspace : settings.all().workspace())
    {
        auto& each = at(workspace_resource(workspace.name()));
        each.whole = share_parts;
        each.burst = workspace.burst();
        each.ledger.set_total_parts(each.whole);
        each.bucket.use_share(now, workspace.rate(), workspace.burst(),
                              each.ledger.parts());
    }
    for (const auto& server : settings.all().server())
    {
        const auto* database = settings.database(server.database());
        auto& each = at(server_resource(server.name()));
        each.connections = true;
        each.whole =
            database == nullptr ? 0 : effective_connection_limit(*database);
        each.ledger.set_total_parts(each.whole);
    }
    wake_all();
}

void limiter::wake(const std::string& name, resource& each)
{
    if (!each.awake)
    {
        each.awake = true;
        awake_.insert(name);
    }
}

void limiter::wake_all()
{
    for (auto& [name, each] : resources_)
    {
        wake(name, each);
    }
}

/// Whether ticks only have to do periodic work for the resource, for which the
/// rotation is frequent enough.
bool limiter::idle(const resource& each) const
{
    const bool lacks_connections =
        each.connections &&
        std::max(each.wanted, each.in_use) > each.ledger.parts();
    return each.ask == 0 && each.asked == 0 && each.demand == 0 &&
           !lacks_connections && each.ledger.idle(epoch_);
}

void limiter::check_confirmation(moment now)
{
    if (number_ != self_.number)
    {
        number_ = self_.number;
        for (auto& [unused, each] : resources_)
        {
            each.ledger.reset();
            each.bucket.use_parts(now, 0);
        }
        epoch_ = 0;
        expelled_ = false;
        wake_all();
        confirmed_since_.reset();
        last_check_ = now;
    }
    const bool frozen = now - last_check_ > options_.freeze_limit;
    last_check_ = now;
    if (frozen || !members_.confirmed(now))
    {
        lose_confirmation();
    }
    else if (!confirmed_since_)
    {
        confirmed_since_ = now;
    }
}

void limiter::lose_confirmation()
{
    if (!confirmed_since_)
    {
        return;
    }
    const bool empty = std::all_of(resources_.begin(), resources_.end(),
                                   [](const auto& each)
                                   { return each.second.ledger.is_unused(); });
    if (!empty)
    {
        ++epoch_;
        wake_all();
    }
    confirmed_since_.reset();
}

bool limiter::may_access_row(moment now) const
{
    return confirmed_since_ &&
           (epoch_ == 0 || now - *confirmed_since_ >= options_.reconfirm_delay);
}

allowance limiter::spend(moment now, const std::string& workspace, outbox& out)
{
    const std::string name = workspace_resource(workspace);
    auto* each = find(name);
    if (each == nullptr || each->whole == 0)
    {
        return allowance::refused;
    }
    check_confirmation(now);
    wake(name, *each);
    if (!confirmed_since_ || !each->ledger.usable(epoch_))
    {
        return allowance::wait;
    }
    sync_bucket(now, *each);
    if (each->bucket.take(now, token_unit))
    {
        ++each->asked;
        return allowance::granted;
    }
    if (each->ask == 0 && now < each->refuse_until)
    {
        ++each->asked;
        return allowance::refused;
    }
    if (each->ask == 0)
    {
        begin_round(now, name, *each, true, out);
    }
    each->urgent = true;
    if (each->ask != 0 || each->ledger.row_total_parts() == 0)
    {
        return allowance::wait;
    }
    ++each->asked;
    return allowance::refused;
}

void limiter::refund(moment now, const std::string& workspace)
{
    auto* each = find(workspace_resource(workspace));
    if (each != nullptr)
    {
        each->bucket.add(now, token_unit);
    }
}

milliseconds limiter::retry_after(moment now,
                                  const std::string& workspace) const
{
    const auto* each = find(workspace_resource(workspace));
    return each == nullptr ? max_retry_after
                           : each->bucket.time_until_available(now, token_unit,
                                                               max_retry_after);
}

std::uint64_t limiter::connections(const std::string& server) const
{
    const auto* each = find(server_resource(server));
    if (each == nullptr || !confirmed_since_ || !each->ledger.usable(epoch_))
    {
        return 0;
    }
    // If the settings lowered the limit, the parts are scaled down to it.
    const std::uint64_t row = each->ledger.row_total_parts();
    return row > each->whole ? each->ledger.parts() * each->whole / row
                             : each->ledger.parts();
}

void limiter::want_connections(moment now, const std::string& server,
                               std::uint64_t wanted, std::uint64_t in_use,
                               outbox& out)
{
    const std::string name = server_resource(server);
    auto* each = find(name);
    if (each == nullptr)
    {
        return;
    }
    check_confirmation(now);
    each->wanted = wanted;
    each->in_use = in_use;
    if (std::max(wanted, in_use) > each->ledger.parts())
    {
        wake(name, *each);
    }
    if (wanted > each->ledger.parts() && each->ask == 0 &&
        now >= each->refuse_until)
    {
        begin_round(now, name, *each, true, out);
    }
}

void limiter::on_tick(moment now, outbox& out)
{
    check_confirmation(now);
    const microseconds passed = now - last_tick_;
    last_tick_ = now;
    for (entry* each : resources_to_visit())
    {
        visit(now, *each, passed, out);
    }
    leave_ticks_ += leaving_ ? 1 : 0;
}

/// Returns the awake resources, including the next ones in rotation.
std::vector<limiter::entry*> limiter::resources_to_visit()
{
    std::vector<entry*> found;
    if (leaving_ || resources_.size() <= options_.min_resources_per_tick)
    {
        for (auto& each : resources_)
        {
            found.push_back(&each);
        }
        return found;
    }
    std::size_t left = std::max(options_.min_resources_per_tick,
                                resources_.size() / visited_divisor);
    for (auto next = resources_.upper_bound(last_visited_); left != 0; --left)
    {
        next = next == resources_.end() ? resources_.begin() : next;
        last_visited_ = next->first;
        wake(next->first, next->second);
        ++next;
    }
    for (const auto& name : awake_)
    {
        found.push_back(&*resources_.find(name));
    }
    return found;
}

/// Updates the bucket to the parts and tokens that the ledger holds.
void limiter::sync_bucket(moment now, resource& each)
{
    each.bucket.use_parts(now, each.ledger.parts());
    each.bucket.add(now,
                    each.bucket.capacity_of(each.ledger.take_unspent_parts()) +
                        each.ledger.take_late_tokens());
}

void limiter::visit(moment now, entry& of, microseconds passed, outbox& out)
{
    auto& [name, each] = of;
    each.ledger.on_tick(now, epoch_, may_access_row(now), out);
    sync_bucket(now, each);
    update_demand(now, each, passed);
    if (each.ask != 0 && now >= each.ask_deadline)
    {
        continue_round(now, name, each, out);
    }
    else if (!leaving_)
    {
        prefetch(now, name, each, out);
    }
    if (leaving_)
    {
        hand_over(now, each, out);
    }
    expelled_ = expelled_ || each.ledger.expelled();
    if (each.awake && idle(each))
    {
        each.awake = false;
        awake_.erase(name);
    }
}

bool limiter::expelled() const
{
    return expelled_;
}

std::uint64_t limiter::parts(const std::string& name) const
{
    const auto* each = find(name);
    return each == nullptr || !confirmed_since_ || !each->ledger.usable(epoch_)
               ? 0
               : each->ledger.parts();
}

} // namespace tanagerhoist
