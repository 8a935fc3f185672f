#include "tanagerhoist/decision/membership.hpp"

#include <algorithm>
#include <utility>

namespace tanagerhoist
{

membership::membership(const identity& self, membership_options options)
    : self_(self), options_(options)
{
}

void membership::on_tick(moment now, const proto::Heartbeat& payload,
                         outbox& out)
{
    if (now >= next_list_)
    {
        next_list_ = now + options_.list_interval;
        read_list(now, out);
    }
    if (now >= next_heartbeat_)
    {
        next_heartbeat_ = now + options_.heartbeat_interval;
        send_heartbeats(now, payload, out);
    }
}

void membership::read_list(moment now, outbox& out)
{
    proto::PlatformCall call;
    call.mutable_list();
    out.call_platform(
        std::move(call), options_.call_timeout,
        [this, sent = now](moment at, const proto::PlatformReply* reply)
        {
            if (reply != nullptr)
            {
                apply_list(at, sent, *reply);
            }
        });
}

void membership::apply_list(moment now, moment sent,
                            const proto::PlatformReply& reply)
{
    if (sent < list_requested_at_)
    {
        return; // reordered: a newer list was already applied
    }
    std::map<std::string, listing> latest;
    for (const auto& vm : reply.listed())
    {
        latest[vm.vm()] = listing{vm.data_centre(), vm.leaving()};
        dropped_at_.erase(vm.vm());
    }
    for (const auto& [vm, unused] : listed_)
    {
        if (latest.count(vm) == 0)
        {
            dropped_at_.emplace(vm, now);
        }
    }
    if (!has_list_)
    {
        first_list_at_ = now;
        has_list_ = true;
    }
    if (latest != listed_ || sent - list_requested_at_ > options_.max_list_age)
    {
        last_change_ = now;
    }
    listed_ = std::move(latest);
    serving_.valid = false;
    last_list_ = now;
    list_requested_at_ = sent;
}

void membership::send_heartbeats(moment now, const proto::Heartbeat& payload,
                                 outbox& out)
{
    for (const auto& [vm, unused] : listed_)
    {
        if (vm == self_.vm)
        {
            continue;
        }
        proto::PeerMessage message;
        auto& heartbeat = *message.mutable_heartbeat();
        heartbeat = payload;
        heartbeat.set_data_centre(self_.data_centre);
        heartbeat.set_leaving(leaving_);
        heartbeat.set_sent_us(to_us(now));
        const auto found = peers_.find(vm);
        const bool known = found != peers_.end();
        heartbeat.set_echo_us(known ? found->second.sent_us : 0);
        out.send_peer(vm, known ? found->second.number : 0, std::move(message));
    }
}

void membership::on_heartbeat(moment now, const proto::Incarnation& from,
                              const proto::Heartbeat& heartbeat)
{
    auto& peer = peers_[from.vm()];
    if (from.number() < peer.number || from.vm() == self_.vm)
    {
        return;
    }
    if (from.number() > peer.number)
    {
        peer = {};
        peer.number = from.number();
        peer.since = now;
        last_change_ = now;
        vm_of_[from.number()] = from.vm();
    }
    serving_.valid = false;
    peer.last_heard = now;
    peer.leaving = heartbeat.leaving();
    peer.sent_us = std::max(peer.sent_us, heartbeat.sent_us());
    const moment echoed = moment_from(heartbeat.echo_us());
    if (echoed <= now)
    {
        peer.echoed = std::max(peer.echoed, echoed);
    }
}

void membership::start_leaving()
{
    leaving_ = true;
    serving_.valid = false;
}

bool membership::is_reachable(const std::string& vm, moment now) const
{
    if (vm == self_.vm)
    {
        return true;
    }
    const auto found = peers_.find(vm);
    return found != peers_.end() && found->second.last_heard != moment{} &&
           now - found->second.last_heard <= options_.heartbeat_timeout;
}

std::vector<member> membership::listed() const
{
    std::vector<member> members;
    for (const auto& [vm, listing] : listed_)
    {
        member each{vm, listing.data_centre, 0, listing.leaving};
        const auto found = peers_.find(vm);
        if (vm == self_.vm)
        {
            each.number = self_.number;
            each.leaving = each.leaving || leaving_;
        }
        else if (found != peers_.end())
        {
            each.number = found->second.number;
            each.leaving = each.leaving || found->second.leaving;
        }
        members.push_back(std::move(each));
    }
    return members;
}

const std::vector<member>& membership::serving(moment now) const
{
    if (serving_.valid && serving_.at == now &&
        serving_.own_number == self_.number)
    {
        return serving_.members;
    }
    std::vector<member> members = listed();
    members.erase(std::remove_if(members.begin(), members.end(),
                                 [&](const member& each) {
                                     return each.leaving ||
                                            !is_reachable(each.vm, now);
                                 }),
                  members.end());
    serving_ = {true, now, self_.number, std::move(members)};
    return serving_.members;
}

bool membership::majority_heard(moment now) const
{
    const auto count = std::count_if(listed_.begin(), listed_.end(),
                                     [&](const auto& each)
                                     { return is_reachable(each.first, now); });
    return 2 * static_cast<std::size_t>(count) > listed_.size();
}

bool membership::gone(const std::string& vm, std::uint64_t number,
                      moment now) const
{
    if (!has_list_ || number == self_.number ||
        now - list_requested_at_ > options_.max_list_age)
    {
        return false; // the VM may be listed again since
    }
    if (listed_.count(vm) == 0)
    {
        const auto found = dropped_at_.find(vm);
        const moment since =
            found == dropped_at_.end() ? first_list_at_ : found->second;
        return now - since >= options_.reclaim_wait;
    }
    if (vm == self_.vm)
    {
        return number < self_.number;
    }
    const auto found = peers_.find(vm);
    return found != peers_.end() && number < found->second.number &&
           now - found->second.since >= options_.reclaim_wait;
}

bool membership::gone(std::uint64_t number, moment now) const
{
    const auto found = vm_of_.find(number);
    return found != vm_of_.end() && gone(found->second, number, now);
}

bool membership::confirmed(moment now) const
{
    const auto is_recent = [&](moment at)
    { return at != moment{} && now - at <= options_.max_confirmation_age; };
    if (listed_.count(self_.vm) == 0)
    {
        return false;
    }
    if (is_recent(list_requested_at_) || listed_.size() == 1)
    {
        return true;
    }
    const auto count = std::count_if(
        listed_.begin(), listed_.end(),
        [&](const auto& each)
        {
            const auto found = peers_.find(each.first);
            return each.first == self_.vm ||
                   (found != peers_.end() && is_recent(found->second.echoed));
        });
    return 2 * static_cast<std::size_t>(count) > listed_.size();
}

bool membership::current(const proto::Incarnation& who) const
{
    const auto found = peers_.find(who.vm());
    return listed_.count(who.vm()) != 0 && found != peers_.end() &&
           found->second.number == who.number();
}

bool membership::recently_listed(const std::string& vm, moment now) const
{
    const auto found = dropped_at_.find(vm);
    return listed_.count(vm) != 0 ||
           (found != dropped_at_.end() &&
            now - found->second < options_.reclaim_wait);
}

std::vector<std::string> membership::recently_listed(moment now) const
{
    std::vector<std::string> vms;
    for (const auto& [vm, unused] : listed_)
    {
        vms.push_back(vm);
    }
    for (const auto& [vm, unused] : dropped_at_)
    {
        if (recently_listed(vm, now))
        {
            vms.push_back(vm);
        }
    }
    return vms;
}

} // namespace tanagerhoist
