#include "tanagerhoist/record/explanation.hpp"

#include "tanagerhoist/core/printable_text.hpp"
#include "tanagerhoist/core/result_code.hpp"
#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/record/event_kind.hpp"
#include "tanagerhoist/record/timeline.hpp"

#include <algorithm>
#include <array>
#include <cstring>

namespace tanagerhoist
{
namespace
{

using describe_function = std::string (*)(const proto::Event&);

/// How to describe an event of one kind. A null `rule` matches any rule; the
/// first matching entry is used.
struct step_description
{
    const char* kind;
    const char* rule;
    describe_function describe;
};

std::string arrived(const proto::Event& event)
{
    return "arrived for workspace '" + event.workspace() + "', database '" +
           event.database() + "', and passed the checks";
}

std::string attached(const proto::Event&)
{
    return "repeated a request in flight and was to get that one's answer";
}

std::string waited_for_allowance(const proto::Event&)
{
    return "waited for allowance, which other VMs were asked for";
}

std::string waited_behind_earlier(const proto::Event&)
{
    return "waited for allowance behind earlier requests of its workspace";
}

std::string queued(const proto::Event& event)
{
    return "was queued for the " + event.rule() + " of database '" +
           event.database() + "', " + event.detail() + " in line with it";
}

std::string delayed(const proto::Event& event)
{
    return "was held back until replica '" + event.detail() +
           "' was expected to hold what its session has seen";
}

std::string dispatched(const proto::Event& event)
{
    return "was sent to '" + event.server() + "', as the request was in the " +
           event.rule() + " lane";
}

std::string retried(const proto::Event& event)
{
    return "got no usable answer from '" + event.server() +
           "' and was to be tried again";
}

std::string retried_at_primary(const proto::Event& event)
{
    return "got no data fresh enough from '" + event.server() +
           "' and was to be tried at the primary";
}

std::string confirming(const proto::Event& event)
{
    return "was run by '" + event.server() +
           "' and waited for the other servers to confirm it";
}

std::string answered(const proto::Event& event)
{
    const auto& row = info(static_cast<result_code>(event.code()));
    std::string text = "was answered " + std::to_string(event.code()) + " (" +
                       std::string(row.name) + ", " +
                       std::string(name(row.outcome)) +
                       "): " + std::string(row.message);
    if (!event.detail().empty())
    {
        text += " [" + event.detail() + "]";
    }
    if (event.rule() == "same_request_answered")
    {
        text += ", with the kept answer of its first sending";
    }
    return text + "; settings version " +
           std::to_string(event.settings_version()) + " was in force";
}

constexpr std::array<step_description, 12> step_descriptions{{
    {"arrived", nullptr, arrived},
    {"attached", nullptr, attached},
    {"waiting", "allowance_asked", waited_for_allowance},
    {"waiting", nullptr, waited_behind_earlier},
    {"queued", nullptr, queued},
    {"delayed", nullptr, delayed},
    {"dispatched", nullptr, dispatched},
    {"retried", "at_primary", retried_at_primary},
    {"retried", nullptr, retried},
    {"confirming", nullptr, confirming},
    {"answered", nullptr, answered},
    {"", nullptr, nullptr},
}};

std::string describe_step(const proto::Event& event)
{
    for (const auto& row : step_descriptions)
    {
        const bool matches_event =
            event.kind() == row.kind &&
            (row.rule == nullptr || event.rule() == row.rule);
        if (matches_event && row.describe != nullptr)
        {
            return row.describe(event);
        }
    }
    return event.kind();
}

std::string describe_change(const proto::Event& event)
{
    std::string text = event.kind();
    std::replace(text.begin(), text.end(), '_', ' ');
    for (const auto* part :
         {&event.database(), &event.server(), &event.detail()})
    {
        text += part->empty() ? "" : " " + *part;
    }
    return text;
}

/// Whether a state change may affect a request to `database` that was handled
/// by one of `vms`.
bool affects_request(const proto::Event& event, const std::string& database,
                     const std::vector<std::string>& vms)
{
    if (is_request_step(event))
    {
        return false;
    }
    if (!event.database().empty())
    {
        return event.database() == database;
    }
    return std::find(vms.begin(), vms.end(), event.vm()) != vms.end();
}

} // namespace

std::vector<std::string> explain(const std::vector<proto::Event>& events,
                                 const std::string& request_id)
{
    std::string database;
    std::vector<std::string> vms;
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    for (const auto& event : events)
    {
        if (event.request_id() != request_id)
        {
            continue;
        }
        first = vms.empty() ? event.hybrid_time() : first;
        last = event.hybrid_time();
        vms.push_back(event.vm());
        database = event.database().empty() ? database : event.database();
    }
    if (vms.empty())
    {
        return {"No event names request '" + printable(request_id) +
                "': it never arrived, or its events were dropped."};
    }
    std::vector<std::string> sentences;
    for (const auto& event : events)
    {
        const bool within =
            event.hybrid_time() >= first && event.hybrid_time() <= last;
        const std::string when =
            to_text(microseconds(event.wall_us())) + " on " + event.vm() + ": ";
        if (event.request_id() == request_id)
        {
            sentences.push_back(
                printable(when + "the request " + describe_step(event) + "."));
        }
        else if (within && affects_request(event, database, vms))
        {
            sentences.push_back(
                printable(when + "meanwhile, " + describe_change(event) + "."));
        }
    }
    return sentences;
}

} // namespace tanagerhoist
