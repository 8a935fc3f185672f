#include "tanagerhoist/decision/limiter.hpp"

#include <algorithm>

namespace tanagerhoist
{

namespace
{

constexpr std::uint64_t token = 1000000; ///< one request, in millionths

} // namespace

limiter::limiter(const identity& self, const membership& members,
                 limiter_options /*options*/)
    : self_(self), members_(members)
{
}

void limiter::use_settings(moment now, const settings_view& settings, outbox&)
{
    const std::uint64_t count =
        std::max<std::size_t>(members_.listed().size(), 1);
    for (const auto& each : settings.settings().workspace())
    {
        auto& slice = buckets_[each.name()];
        slice = {each.rate() * token / count, each.burst() * token / count,
                 each.burst() * token / count, now};
    }
    for (const auto& each : settings.settings().server())
    {
        const auto* database = settings.database(each.database());
        connections_[each.name()] =
            database == nullptr ? 0 : database->connections() / count;
    }
}

allowance limiter::spend(moment now, const std::string& workspace, outbox&)
{
    const auto found = buckets_.find(workspace);
    if (found == buckets_.end())
    {
        return allowance::refused;
    }
    auto& slice = found->second;
    const std::uint64_t passed = to_us(now) - to_us(slice.filled);
    slice.filled = now;
    slice.tokens =
        std::min(slice.burst, slice.tokens + slice.rate * passed / token);
    if (slice.tokens < token)
    {
        return allowance::refused;
    }
    slice.tokens -= token;
    return allowance::granted;
}

void limiter::refund(moment, const std::string& workspace)
{
    const auto found = buckets_.find(workspace);
    if (found != buckets_.end())
    {
        auto& slice = found->second;
        slice.tokens = std::min(slice.burst, slice.tokens + token);
    }
}

milliseconds limiter::retry_after(moment, const std::string&) const
{
    return milliseconds(100);
}

std::uint64_t limiter::connections(const std::string& server) const
{
    const auto found = connections_.find(server);
    return found == connections_.end() ? 0 : found->second;
}

void limiter::want_connections(moment, const std::string&, std::uint64_t,
                               std::uint64_t, outbox&)
{
}

void limiter::on_slice_ask(moment, const proto::Incarnation&,
                           const proto::SliceAsk&, outbox&)
{
}

void limiter::on_slice_give(moment, const proto::Incarnation&,
                            const proto::SliceGive&, outbox&)
{
}

void limiter::on_tick(moment, outbox&) {}

void limiter::hints(proto::Heartbeat&) const {}

void limiter::on_hints(const proto::Incarnation&, const proto::Heartbeat&) {}

void limiter::start_leaving(moment, outbox&)
{
    leaving_ = true;
}

} // namespace tanagerhoist
