#include "standin/limits_simulation_process.hpp"

#include <algorithm>
#include <utility>

namespace tanagerhoist::standin
{

namespace
{

constexpr milliseconds tick_interval{50};
constexpr std::uint64_t max_jitter_us = 30000; ///< when message faults are set

} // namespace

void limits_simulation::input(std::uint64_t id,
                              const std::function<void(process&, moment)>& run)
{
    auto* each = find(id);
    if (each == nullptr)
    {
        return;
    }
    if (each->frozen)
    {
        each->backlog.emplace_back([this, id, run] { input(id, run); });
        return;
    }
    const moment local(now_ - each->start + microseconds(1));
    run(*each, local);
    retry_waiting_requests(*each);
    flush(*each);
}

void limits_simulation::tick(std::uint64_t id)
{
    if (find(id) == nullptr)
    {
        return;
    }
    input(id,
          [](process& each, moment now)
          {
              if (each.limits.expelled() && !each.renewed)
              {
                  each.incarnations.renew();
                  each.renewed = true;
              }
              each.incarnations.on_tick(now, each.out);
              if (each.incarnations.number() != 0)
              {
                  each.renewed = each.renewed &&
                                 each.self.number == each.incarnations.number();
                  each.self.number = each.incarnations.number();
              }
              if (each.settings != nullptr)
              {
                  each.limits.use_settings(now, *each.settings, each.out);
                  each.settings = nullptr;
              }
              proto::Heartbeat news;
              if (each.members.heartbeat_due(now))
              {
                  each.limits.hints(news); // clears the hints it returns
              }
              each.members.on_tick(now, news, each.out);
              each.limits.on_tick(now, each.out);
          });
    schedule_at(now_ + tick_interval, [this, id] { tick(id); });
}

void limits_simulation::flush(process& from)
{
    for (const auto& action : from.out.take_actions())
    {
        if (action.has_send_peer())
        {
            send(from, action.send_peer());
        }
        else if (action.has_call_platform())
        {
            call(from, action.call_platform());
        }
    }
}

bool limits_simulation::chance(unsigned percent)
{
    return percent != 0 && random_() % 100 < percent;
}

microseconds limits_simulation::delay(const std::string& from,
                                      const std::string& to)
{
    const microseconds base = from == to ? options_.inside : options_.across;
    const bool lossy = lost_ != 0 || repeated_ != 0;
    return base + microseconds(lossy ? random_() % max_jitter_us : 0);
}

void limits_simulation::send(process& from, const proto::PeerMessage& message)
{
    proto::PeerMessage stamped = message;
    stamped.mutable_from()->set_vm(from.self.vm);
    stamped.mutable_from()->set_number(from.self.number);
    ++messages_;
    bytes_ += stamped.ByteSizeLong();
    auto* to = find(stamped.to());
    if (to == nullptr || cut_peers_.count(from.self.vm) != 0 ||
        cut_peers_.count(to->self.vm) != 0 || chance(lost_) ||
        from.self.number == 0)
    {
        return;
    }
    const unsigned copies = chance(repeated_) ? 2 : 1;
    for (unsigned copy = 0; copy < copies; ++copy)
    {
        schedule_at(now_ + delay(from.self.data_centre, to->self.data_centre),
                    [this, id = to->id, stamped] { deliver(id, stamped); });
    }
}

void limits_simulation::deliver(std::uint64_t to,
                                const proto::PeerMessage& message)
{
    input(to,
          [message](process& each, moment now)
          {
              const auto& from = message.from();
              if (message.to_number() != 0 &&
                  message.to_number() != each.self.number)
              {
                  return;
              }
              if (message.has_heartbeat())
              {
                  each.members.on_heartbeat(now, from, message.heartbeat());
                  each.limits.on_hints(from, message.heartbeat());
              }
              else if (message.has_slice_ask())
              {
                  each.limits.on_slice_ask(now, from, message.slice_ask(),
                                           each.out);
              }
              else if (message.has_slice_give())
              {
                  each.limits.on_slice_give(now, from, message.slice_give(),
                                            each.out);
              }
          });
}

void limits_simulation::call(process& from, const proto::CallPlatform& call)
{
    ++platform_calls_;
    const std::uint64_t id = from.id;
    const auto answer = [this, id, tag = call.tag()](
                            const std::optional<proto::PlatformReply>& reply)
    {
        input(id,
              [tag, reply](process& each, moment now)
              {
                  auto handler = each.out.take_platform(tag);
                  if (handler)
                  {
                      handler(now, reply ? &*reply : nullptr);
                  }
              });
    };
    const microseconds way = options_.inside + platform_.delay() / 2;
    if (cut_platform_.count(from.self.vm) != 0)
    {
        schedule_at(now_ + milliseconds(call.timeout_ms()),
                    [answer] { answer(std::nullopt); });
        return;
    }
    schedule_at(
        now_ + way,
        [this, answer, body = call.call(), way, timeout = call.timeout_ms()]
        {
            const auto reply = platform_.handle(now_, body);
            const microseconds back =
                reply ? way : microseconds(milliseconds(timeout));
            schedule_at(now_ + back, [answer, reply] { answer(reply); });
        });
}

void limits_simulation::leave(std::size_t vm)
{
    if (auto* each = find(name(vm)))
    {
        input(each->id,
              [](process& on, moment now)
              {
                  on.members.start_leaving();
                  on.limits.start_leaving(now, on.out);
              });
    }
}

void limits_simulation::want_connections(std::size_t vm,
                                         const std::string& server,
                                         std::uint64_t wanted,
                                         std::uint64_t in_use)
{
    if (auto* each = find(name(vm)))
    {
        input(each->id,
              [=](process& on, moment now) {
                  on.limits.want_connections(now, server, wanted, in_use,
                                             on.out);
              });
    }
}

void limits_simulation::request(std::size_t vm, const std::string& workspace)
{
    auto* each = find(name(vm));
    if (each == nullptr || each->frozen)
    {
        return;
    }
    auto& counts = counts_[workspace];
    ++counts.offered;
    counts.reference += reference_[workspace].take(now_, token_unit) ? 1 : 0;
    each->waiting.push_back({workspace, now_});
    input(each->id, [](process&, moment) {});
    schedule_at(now_ + options_.hold,
                [this, id = each->id] { input(id, [](process&, moment) {}); });
}

void limits_simulation::retry_waiting_requests(process& each)
{
    const moment local(now_ - each.start + microseconds(1));
    std::vector<waiting_request> still_waiting;
    for (auto& request : std::exchange(each.waiting, {}))
    {
        const auto got = each.limits.spend(local, request.workspace, each.out);
        if (got == allowance::granted)
        {
            admit(request.workspace, request.since);
        }
        else if (got == allowance::refused ||
                 now_ - request.since >= options_.hold)
        {
            ++counts_[request.workspace].refused;
        }
        else
        {
            still_waiting.push_back(std::move(request));
        }
    }
    each.waiting = std::move(still_waiting);
}

void limits_simulation::admit(const std::string& workspace, moment since)
{
    auto& counts = counts_[workspace];
    ++counts.admitted;
    counts.max_wait_us =
        std::max(counts.max_wait_us, to_us(now_) - to_us(since));
    auto& window = windows_[workspace];
    const auto passed = static_cast<std::int64_t>((now_ - window.last).count());
    window.last = now_;
    // One request per second equals a millionth of a request per microsecond.
    window.level =
        std::max<std::int64_t>(0, window.level - window.rate * passed) +
        static_cast<std::int64_t>(token_unit);
    window.largest = std::max(window.largest, window.level);
}

} // namespace tanagerhoist::standin
