#include "standin/wire_modes.hpp"

#include <algorithm>
#include <iterator>

namespace tanagerhoist::standin
{
namespace
{

constexpr unsigned usual_share = 20; // percent of answers
constexpr unsigned seldom_share = 4; // percent of answers
constexpr std::size_t soonest = 1;   // ms
constexpr std::size_t latest = 60;   // ms
constexpr std::string_view line_end = "\r\n";

write_plan plain(const answer_bytes& answer, wire_random& /*random*/)
{
    return {{milliseconds(0), answer.bytes}};
}

write_plan again(const answer_bytes& answer, wire_random& random)
{
    auto plan = plain(answer, random);
    plan.push_back({random.time(soonest, latest), answer.bytes});
    return plan;
}

write_plan twice(const answer_bytes& answer, wire_random& random)
{
    return random.chance(usual_share)
               ? write_plan{{milliseconds(0), answer.bytes + answer.bytes}}
               : plain(answer, random);
}

write_plan late(const answer_bytes& answer, wire_random& random)
{
    return random.chance(usual_share) ? again(answer, random)
                                      : plain(answer, random);
}

write_plan errors(const answer_bytes& answer, wire_random& random)
{
    return answer.is_error ? again(answer, random) : plain(answer, random);
}

/// The first lines of an answer, not all of them if there are several.
std::string first_lines(const std::string& bytes, wire_random& random)
{
    std::vector<std::size_t> ends;
    for (auto at = bytes.find(line_end); at != std::string::npos;
         at = bytes.find(line_end, at + line_end.size()))
    {
        ends.push_back(at + line_end.size());
    }
    return bytes.substr(0, ends[random.below(ends.size())]);
}

write_plan part(const answer_bytes& answer, wire_random& random)
{
    auto plan = plain(answer, random);
    if (random.chance(usual_share))
    {
        plan.push_back(
            {random.time(soonest, latest), first_lines(answer.bytes, random)});
    }
    return plan;
}

write_plan part_of_line(const answer_bytes& answer, wire_random& random)
{
    auto plan = plain(answer, random);
    if (random.chance(usual_share))
    {
        const auto size = random.between(1, answer.bytes.size() - 1);
        plan.push_back(
            {random.time(soonest, latest), answer.bytes.substr(0, size)});
    }
    return plan;
}

/// A state that no statement has asked for, on an idle connection.
write_plan early(const answer_bytes& answer, wire_random& random)
{
    auto plan = plain(answer, random);
    if (random.chance(usual_share))
    {
        const auto ready = answer.bytes.rfind("READY ");
        plan.push_back({random.time(soonest, latest),
                        answer.bytes.substr(ready), false, true});
    }
    return plan;
}

write_plan cut(const answer_bytes& answer, wire_random& random)
{
    if (!random.chance(seldom_share))
    {
        return plain(answer, random);
    }
    const auto size = random.below(answer.bytes.size());
    return {{milliseconds(0), answer.bytes.substr(0, size), true}};
}

write_plan silent(const answer_bytes& answer, wire_random& random)
{
    return random.chance(seldom_share) ? write_plan{} : plain(answer, random);
}

/// Answers again to what the proxy adds: values, shapes, begins, rollbacks.
write_plan proxy_again(const answer_bytes& answer, wire_random& random)
{
    if (!answer.is_to_proxy)
    {
        return plain(answer, random);
    }
    return random.chance(50) ? late(answer, random) : twice(answer, random);
}

write_plan mixed(const answer_bytes& answer, wire_random& random)
{
    constexpr decltype(&plain) plans[] = {
        &plain, &plain, &plain,        &twice, &late,   &errors,
        &part,  &early, &part_of_line, &cut,   &silent, &proxy_again};
    return plans[random.below(std::size(plans))](answer, random);
}

/// Some statements take long, up to just under their timeout.
write_plan slow(const answer_bytes& answer, wire_random& random)
{
    constexpr unsigned long_share = 4;      // percent
    constexpr std::size_t long_least = 400; // ms
    constexpr std::size_t long_most = 900;  // ms
    constexpr std::size_t usual_most = 12;  // ms
    const auto takes = random.chance(long_share)
                           ? random.time(long_least, long_most)
                           : random.time(1, usual_most);
    return {{takes, answer.bytes}};
}

constexpr wire_mode modes[] = {
    {"plain", &plain},
    {"bytes", &plain, true},
    {"pieces", &plain, true, true},
    {"fails", &plain, false, false, true},
    {"twice", &twice},
    {"late", &late},
    {"errors", &errors, false, false, true},
    {"part", &part},
    {"part-of-line", &part_of_line},
    {"early", &early},
    {"cut", &cut},
    {"silent", &silent},
    {"proxy-again", &proxy_again},
    {"status-late", &late, false, false, false, false, true},
    {"status-mixed", &mixed, true, true, true, false, true},
    {"same-rows-late", &late, false, false, false, true},
    {"same-rows-part", &part, false, false, false, true},
    {"mixed", &mixed, true, true, true},
    {"restarts", &slow, false, false, true, false, false, true},
};

} // namespace

const wire_mode* find_wire_mode(std::string_view name)
{
    const auto* found =
        std::find_if(std::begin(modes), std::end(modes),
                     [name](const auto& at) { return name == at.name; });
    return found == std::end(modes) ? nullptr : found;
}

} // namespace tanagerhoist::standin
