#include "tanagerhoist/record/timeline.hpp"

#include "tanagerhoist/core/result_code.hpp"

#include <algorithm>
#include <array>
#include <ctime>
#include <tuple>

namespace tanagerhoist
{
namespace
{

auto order_of(const proto::Event& event)
{
    return std::make_tuple(event.hybrid_time(), std::cref(event.vm()),
                           event.incarnation(), event.sequence());
}

bool before(const proto::Event& one, const proto::Event& other)
{
    return order_of(one) < order_of(other);
}

bool same(const proto::Event& one, const proto::Event& other)
{
    return order_of(one) == order_of(other) &&
           one.SerializeAsString() == other.SerializeAsString();
}

bool admits(const std::string& wanted, const std::string& value)
{
    return wanted.empty() || wanted == value;
}

void add(std::string& line, const char* name, const std::string& value)
{
    if (!value.empty())
    {
        line += ' ';
        line += name;
        line += '=';
        line += value;
    }
}

} // namespace

timeline merge(const std::vector<proto::EventBatch>& batches)
{
    timeline merged;
    for (const auto& batch : batches)
    {
        merged.dropped += batch.dropped();
        merged.events.insert(merged.events.end(), batch.event().begin(),
                             batch.event().end());
    }
    auto& events = merged.events;
    std::sort(events.begin(), events.end(), before);
    events.erase(std::unique(events.begin(), events.end(), same), events.end());
    return merged;
}

bool matches(const event_filter& filter, const proto::Event& event)
{
    const microseconds wall(event.wall_us());
    return admits(filter.request, event.request_id()) &&
           admits(filter.session, event.session()) &&
           admits(filter.workspace, event.workspace()) &&
           admits(filter.database, event.database()) &&
           (!filter.from || wall >= *filter.from) &&
           (!filter.to || wall < *filter.to);
}

std::vector<proto::Event> select(const std::vector<proto::Event>& events,
                                 const event_filter& filter)
{
    std::vector<proto::Event> selected;
    std::copy_if(events.begin(), events.end(), std::back_inserter(selected),
                 [&](const proto::Event& event)
                 { return matches(filter, event); });
    return selected;
}

std::string to_text(microseconds wall)
{
    constexpr std::size_t longest = 32;
    const auto ms = std::chrono::duration_cast<milliseconds>(wall).count();
    constexpr auto ms_per_s = 1000;
    const std::time_t seconds = ms / ms_per_s;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, longest> date{};
    std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    const std::string fraction = std::to_string(ms_per_s + ms % ms_per_s);
    return std::string(date.data()) + "." + fraction.substr(1) + "Z";
}

std::string to_text(const proto::Event& event)
{
    std::string line = to_text(microseconds(event.wall_us())) + " " +
                       event.vm() + "/" + std::to_string(event.incarnation()) +
                       " " + event.kind();
    add(line, "rule", event.rule());
    if (event.kind() == "answered")
    {
        add(line, "code",
            std::to_string(event.code()) + "(" +
                std::string(info(static_cast<result_code>(event.code())).name) +
                ")");
    }
    add(line, "request", event.request_id());
    add(line, "session", event.session());
    add(line, "workspace", event.workspace());
    add(line, "database", event.database());
    add(line, "server", event.server());
    add(line, "detail", event.detail());
    add(line, "settings", std::to_string(event.settings_version()));
    return line;
}

} // namespace tanagerhoist
