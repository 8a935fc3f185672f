#include "state_log.hpp"

#include "tanagerhoist/record/event_kind.hpp"

#include <spdlog/spdlog.h>

#include <utility>

namespace tanagerhoist
{

state_log::state_log(record_sink& next, const metrics& counters)
    : next_(next), metrics_(counters)
{
}

void state_log::record_input(const proto::Input& input,
                             const std::vector<proto::Action>& actions)
{
    next_.record_input(input, actions);
}

void state_log::record_events(std::vector<proto::Event> events)
{
    for (const auto& event : events)
    {
        if (!is_request_step(event))
        {
            spdlog::info("{} {} rule={} database={} server={} {}",
                         metrics_.summary(), event.kind(), event.rule(),
                         event.database(), event.server(), event.detail());
        }
    }
    next_.record_events(std::move(events));
}

} // namespace tanagerhoist
