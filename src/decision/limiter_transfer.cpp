#include "tanagerhoist/decision/limiter.hpp"

#include <algorithm>
#include <utility>

namespace tanagerhoist
{

namespace
{

/// Weight of the latest tick in the moving average of demand, as a divisor.
constexpr std::uint64_t smoothing = 8;

/// Time without requests after which a workspace's demand is set to 0.
constexpr milliseconds demand_memory{10000};

/// Number of ticks for which a leaving VM repeats its totals, in case messages
/// are lost.
constexpr std::uint64_t leave_repeats = 4;

/// Minimum fraction of the burst to ask for while a request waits, as a
/// divisor.
constexpr std::uint64_t min_asked_divisor = 8;

constexpr std::uint64_t us_per_second = 1000000;

} // namespace

void limiter::update_demand(moment now, resource& each, microseconds passed)
{
    if (passed.count() <= 0)
    {
        return;
    }
    const std::uint64_t now_rate =
        each.asked * us_per_second / static_cast<std::uint64_t>(passed.count());
    if (each.asked != 0)
    {
        each.last_asked = now;
    }
    else if (now - each.last_asked > demand_memory)
    {
        each.demand = 0; // rounding would keep it above 0 forever
        return;
    }
    each.asked = 0;
    each.demand =
        (each.demand * (smoothing - 1) + now_rate + smoothing / 2) / smoothing;
}

holding limiter::own_holding(moment now, const resource& each) const
{
    holding has;
    has.parts = each.ledger.parts();
    if (each.connections)
    {
        has.needed_parts =
            leaving_ ? each.in_use : std::max(each.wanted, each.in_use);
        return has;
    }
    has.tokens = each.bucket.tokens(now);
    has.whole_tokens = each.burst * token_unit;
    if (!leaving_ && each.bucket.rate() != 0)
    {
        has.needed_parts = each.demand * share_parts / each.bucket.rate();
        has.needed_tokens =
            each.demand * to_us(moment(options_.demand_horizon));
    }
    return has;
}

proto::Slice limiter::wanted_slice(moment now, const resource& each) const
{
    proto::Slice want;
    const holding has = own_holding(now, each);
    if (has.needed_parts > has.parts)
    {
        want.set_parts(has.needed_parts - has.parts);
    }
    if (!each.connections)
    {
        const std::uint64_t least =
            each.urgent ? has.whole_tokens / min_asked_divisor : 0;
        const std::uint64_t ahead =
            std::max(2 * has.needed_tokens + token_unit, least);
        want.set_tokens(ahead > has.tokens ? ahead - has.tokens : token_unit);
    }
    return want;
}

void limiter::prefetch(moment now, const std::string& name, resource& each,
                       outbox& out)
{
    const holding has = own_holding(now, each);
    const bool low = each.connections
                         ? has.needed_parts > has.parts
                         : has.tokens < has.needed_tokens / 2 + token_unit &&
                               each.demand != 0;
    if (low && each.whole != 0 && each.ask == 0 &&
        now >= std::max(each.refuse_until, each.prefetch_after) &&
        confirmed_since_ && each.ledger.usable(epoch_))
    {
        begin_round(now, name, each, false, out);
    }
}

std::vector<member> limiter::peers(moment now) const
{
    std::vector<member> found = members_.serving(now);
    found.erase(std::remove_if(found.begin(), found.end(),
                               [&](const member& each) {
                                   return each.vm == self_.vm ||
                                          each.number == 0;
                               }),
                found.end());
    return found;
}

void limiter::begin_round(moment now, const std::string& name, resource& each,
                          bool urgent, outbox& out)
{
    each.ask = next_ask_++;
    each.urgent = urgent;
    each.asked_vms.clear();
    continue_round(now, name, each, out);
}

void limiter::continue_round(moment now, const std::string& name,
                             resource& each, outbox& out)
{
    const bool first = each.asked_vms.empty();
    std::vector<member> left = peers(now);
    left.erase(std::remove_if(left.begin(), left.end(),
                              [&](const member& peer)
                              { return each.asked_vms.count(peer.vm) != 0; }),
               left.end());
    if (left.empty() || (!first && !each.urgent))
    {
        end_round(now, each, false);
        return;
    }
    std::stable_sort(left.begin(), left.end(),
                     [&](const member& a, const member& b)
                     { return spare_of(name, a) > spare_of(name, b); });
    const bool ask_one = first && spare_of(name, left.front()) != 0;
    if (!each.urgent && !ask_one)
    {
        each.ask = 0; // a prefetch doesn't ask all peers
        return;
    }
    left.resize(std::min(left.size(), ask_one ? 1 : options_.fan_out));
    each.pending.clear();
    each.ask_deadline = now + options_.ask_timeout;
    for (const auto& peer : left)
    {
        each.pending.insert(peer.vm);
        each.asked_vms.insert(peer.vm);
        send_ask(now, name, each, peer, out);
    }
}

void limiter::end_round(moment now, resource& each, bool served)
{
    const bool urgent = std::exchange(each.urgent, false);
    each.ask = 0;
    each.pending.clear();
    each.prefetch_after = now + options_.refusal_backoff;
    if (!served && !urgent)
    {
        return; // only one peer was asked; others may have some to spare
    }
    if (served)
    {
        each.refusal_backoff = milliseconds(0);
        return;
    }
    each.refusal_backoff =
        std::clamp(2 * each.refusal_backoff, options_.refusal_backoff,
                   options_.max_refusal_backoff);
    each.refuse_until = now + each.refusal_backoff;
}

void limiter::send_ask(moment now, const std::string& name, resource& each,
                       const member& to, outbox& out)
{
    proto::PeerMessage message;
    auto& ask = *message.mutable_slice_ask();
    ask.set_resource(name);
    ask.set_ask(each.ask);
    ask.set_urgent(each.urgent);
    *ask.mutable_want() = wanted_slice(now, each);
    out.send_peer(to.vm, to.number, std::move(message));
}

void limiter::send_give(moment now, resource& each,
                        const proto::Incarnation& to, const proto::Slice& slice,
                        std::uint64_t ask, outbox& out)
{
    proto::Slice debited = slice;
    if (!each.bucket.take(now, slice.tokens()))
    {
        debited.set_tokens(0); // only debited tokens may be transferred
    }
    proto::PeerMessage message;
    *message.mutable_slice_give() =
        each.ledger.give(to, std::move(debited), ask);
    each.bucket.use_parts(now, each.ledger.parts());
    out.send_peer(to.vm(), to.number(), std::move(message));
}

/// Whether a request waits here, or the last round was unsuccessful a short
/// time ago.
bool limiter::has_unmet_demand(moment now, const resource& each)
{
    return each.urgent || now < each.refuse_until;
}

void limiter::on_slice_ask(moment now, const proto::Incarnation& from,
                           const proto::SliceAsk& ask, outbox& out)
{
    check_confirmation(now);
    auto* each = find(ask.resource());
    if (each == nullptr)
    {
        return;
    }
    wake(ask.resource(), *each);
    proto::Slice slice;
    const bool may = confirmed_since_ && each->ledger.may_give(epoch_, from) &&
                     members_.current(from);
    if (may)
    {
        // If requests wait on both VMs, moving tokens gains nothing.
        const bool urgent = ask.urgent() && !has_unmet_demand(now, *each);
        slice = policy_->give(own_holding(now, *each), ask.want(), urgent);
    }
    send_give(now, *each, from, slice, ask.ask(), out);
}

void limiter::on_slice_give(moment now, const proto::Incarnation& from,
                            const proto::SliceGive& give, outbox& out)
{
    check_confirmation(now);
    auto* each = find(give.resource());
    if (each == nullptr)
    {
        return;
    }
    wake(give.resource(), *each);
    const auto credited = each->ledger.receive(from, give);
    each->bucket.use_parts(now, each->ledger.parts());
    if (!each->connections)
    {
        each->bucket.add(now, credited.tokens());
    }
    if (give.ask() != each->ask || each->ask == 0)
    {
        return;
    }
    each->pending.erase(from.vm());
    if (give.given().parts() == 0 && give.given().tokens() == 0)
    {
        hints_[from.vm()].spare.erase(give.resource()); // nothing to spare
    }
    const bool served = each->connections
                            ? each->ledger.parts() >= each->wanted
                            : each->bucket.tokens(now) >= token_unit;
    if (served)
    {
        end_round(now, *each, true);
    }
    else if (each->pending.empty())
    {
        continue_round(now, give.resource(), *each, out);
    }
}

void limiter::start_leaving(moment now, outbox& out)
{
    if (leaving_)
    {
        return; // each tick transfers the rest
    }
    leaving_ = true;
    leave_ticks_ = 0;
    for (auto& [unused, each] : resources_)
    {
        hand_over(now, each, out);
    }
}

void limiter::hand_over(moment now, resource& each, outbox& out)
{
    const auto found = peers(now);
    has_no_peers_ = found.empty();
    const holding has = own_holding(now, each);
    if (has_no_peers_ || (has.parts == 0 && leave_ticks_ > leave_repeats))
    {
        return;
    }
    std::uint64_t left = found.size();
    std::uint64_t parts = has.parts - std::min(has.parts, has.needed_parts);
    std::uint64_t tokens = has.tokens;
    for (const auto& peer : found)
    {
        proto::Incarnation to;
        to.set_vm(peer.vm);
        to.set_number(peer.number);
        proto::Slice slice;
        if (confirmed_since_ && each.ledger.may_give(epoch_, to))
        {
            slice.set_parts((parts + left - 1) / left);
            const std::uint64_t carried =
                each.connections ? 0 : each.bucket.capacity_of(slice.parts());
            slice.set_tokens(std::min((tokens + left - 1) / left, carried));
        }
        parts -= slice.parts();
        tokens -= slice.tokens();
        --left;
        send_give(now, each, to, slice, 0, out);
    }
}

bool limiter::handed_over() const
{
    if (!leaving_)
    {
        return false;
    }
    const bool empty = std::all_of(resources_.begin(), resources_.end(),
                                   [](const auto& each)
                                   { return each.second.ledger.parts() == 0; });
    return (has_no_peers_ || (empty && leave_ticks_ >= leave_repeats));
}

} // namespace tanagerhoist
