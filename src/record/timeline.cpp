#include "tanagerhoist/record/timeline.hpp"

#include "tanagerhoist/core/printable_text.hpp"
#include "tanagerhoist/core/result_code.hpp"

#include <algorithm>
#include <array>
#include <ctime>
#include <tuple>

namespace tanagerhoist
{
namespace
{

auto sort_key(const proto::Event& event)
{
    return std::make_tuple(event.hybrid_time(), std::cref(event.vm()),
                           event.incarnation(), event.sequence());
}

bool is_before(const proto::Event& left, const proto::Event& right)
{
    return sort_key(left) < sort_key(right);
}

bool is_duplicate(const proto::Event& left, const proto::Event& right)
{
    return sort_key(left) == sort_key(right) &&
           left.SerializeAsString() == right.SerializeAsString();
}

bool matches_if_set(const std::string& wanted, const std::string& value)
{
    return wanted.empty() || wanted == value;
}

void append_field(std::string& line, const char* name, const std::string& value)
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
    std::sort(events.begin(), events.end(), is_before);
    events.erase(std::unique(events.begin(), events.end(), is_duplicate),
                 events.end());
    return merged;
}

bool matches(const event_filter& filter, const proto::Event& event)
{
    const microseconds wall(event.wall_us());
    return matches_if_set(filter.request, event.request_id()) &&
           matches_if_set(filter.session, event.session()) &&
           matches_if_set(filter.workspace, event.workspace()) &&
           matches_if_set(filter.database, event.database()) &&
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
    constexpr std::size_t max_date_size = 32;
    const auto ms = std::chrono::duration_cast<milliseconds>(wall).count();
    constexpr auto ms_per_s = 1000;
    const std::time_t seconds = ms / ms_per_s;
    std::tm utc_time{};
    gmtime_r(&seconds, &utc_time);
    std::array<char, max_date_size> date{};
    std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &utc_time);
    const std::string fraction = std::to_string(ms_per_s + ms % ms_per_s);
    return std::string(date.data()) + "." + fraction.substr(1) + "Z";
}

std::string to_text(const proto::Event& event)
{
    std::string line = to_text(microseconds(event.wall_us())) + " " +
                       event.vm() + "/" + std::to_string(event.incarnation()) +
                       " " + event.kind();
    append_field(line, "rule", event.rule());
    if (event.kind() == "answered")
    {
        append_field(
            line, "code",
            std::to_string(event.code()) + "(" +
                std::string(info(static_cast<result_code>(event.code())).name) +
                ")");
    }
    append_field(line, "request", event.request_id());
    append_field(line, "session", event.session());
    append_field(line, "workspace", event.workspace());
    append_field(line, "database", event.database());
    append_field(line, "server", event.server());
    append_field(line, "detail", event.detail());
    append_field(line, "settings", std::to_string(event.settings_version()));
    return printable(line);
}

} // namespace tanagerhoist
