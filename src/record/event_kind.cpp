#include "tanagerhoist/record/event_kind.hpp"

#include <algorithm>
#include <array>
#include <string_view>

namespace tanagerhoist
{
namespace
{

constexpr std::array<std::string_view, 9> request_steps{
    "arrived", "attached",   "waiting",  "queued",    "delayed",
    "retried", "dispatched", "answered", "confirming"};

} // namespace

bool is_request_step(const proto::Event& event)
{
    return std::find(request_steps.begin(), request_steps.end(),
                     event.kind()) != request_steps.end();
}

bool is_low_priority(const proto::Event& event)
{
    return is_request_step(event) && event.code() == 0;
}

} // namespace tanagerhoist
