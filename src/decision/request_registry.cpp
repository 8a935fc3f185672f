#include "tanagerhoist/decision/request_registry.hpp"

#include <xxhash.h>

namespace tanagerhoist
{
namespace
{

/// Bytes of bookkeeping counted for each kept answer.
constexpr std::size_t entry_overhead = 512;

std::uint64_t mix(std::uint64_t seed, const std::string& text)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

/// Digest of what makes a request the same one. The token may differ: a
/// session can have seen more by the time it repeats a request.
std::uint64_t fingerprint_of(const proto::CallerRequest& request)
{
    std::uint64_t digest = mix(0, request.route());
    digest = mix(digest, request.statement());
    digest = mix(digest, request.transaction());
    return digest + static_cast<std::uint64_t>(request.step());
}

} // namespace

request_registry::request_registry(request_registry_options options)
    : options_(options)
{
}

request_registry::arrived
request_registry::arrive(moment now, std::uint64_t call,
                         const std::string& workspace,
                         const proto::CallerRequest& request)
{
    if (request.request_id().empty())
    {
        return {arrival::first, nullptr};
    }
    const key id(workspace, request.request_id());
    const std::uint64_t fingerprint = fingerprint_of(request);
    const auto kept = kept_.find(id);
    if (kept != kept_.end() && now < kept->second.until)
    {
        return kept->second.fingerprint == fingerprint
                   ? arrived{arrival::answered, &kept->second.answer}
                   : arrived{arrival::mismatch, nullptr};
    }
    const auto flying = flights_.find(id);
    if (flying == flights_.end())
    {
        flights_.emplace(id, flight{fingerprint, call, {call}});
        flight_of_call_.emplace(call, id);
        return {arrival::first, nullptr};
    }
    if (flying->second.fingerprint != fingerprint)
    {
        return {arrival::mismatch, nullptr};
    }
    if (flying->second.calls.size() > options_.waiting_repeats)
    {
        return {arrival::crowded, nullptr};
    }
    flying->second.calls.insert(call);
    flight_of_call_.emplace(call, id);
    return {arrival::attached, nullptr};
}

std::vector<std::uint64_t>
request_registry::finish(moment now, std::uint64_t call,
                         const proto::CallerReply& answer, bool keep)
{
    const auto known = flight_of_call_.find(call);
    if (known == flight_of_call_.end())
    {
        return {call};
    }
    const key id = known->second;
    const flight ended = std::move(flights_.extract(id).mapped());
    flight_of_call_.erase(ended.first);
    for (const std::uint64_t each : ended.calls)
    {
        flight_of_call_.erase(each);
    }
    if (keep)
    {
        keep_answer(now, id, ended.fingerprint, answer);
    }
    return {ended.calls.begin(), ended.calls.end()};
}

void request_registry::drop(std::uint64_t call)
{
    const auto known = flight_of_call_.find(call);
    if (known == flight_of_call_.end())
    {
        return;
    }
    flight& of = flights_[known->second];
    of.calls.erase(call);
    if (of.first != call)
    {
        flight_of_call_.erase(known);
    }
}

void request_registry::on_tick(moment now)
{
    while (!by_place_.empty())
    {
        const key oldest = by_place_.begin()->second;
        if (now < kept_.at(oldest).until)
        {
            break;
        }
        evict(oldest);
    }
}

void request_registry::keep_answer(moment now, const key& id,
                                   std::uint64_t fingerprint,
                                   const proto::CallerReply& answer)
{
    evict(id);
    kept_answer entry;
    entry.fingerprint = fingerprint;
    entry.place = next_place_++;
    entry.until = now + options_.keep;
    entry.bytes = entry_overhead + id.first.size() + 2 * id.second.size() +
                  answer.ByteSizeLong();
    entry.answer = answer;
    holding& of = holdings_[id.first];
    of.bytes += entry.bytes;
    of.by_place.emplace(entry.place, id);
    bytes_ += entry.bytes;
    by_place_.emplace(entry.place, id);
    kept_.emplace(id, std::move(entry));
    make_room(id.first);
}

void request_registry::evict(const key& id)
{
    const auto entry = kept_.find(id);
    if (entry == kept_.end())
    {
        return;
    }
    const auto of = holdings_.find(id.first);
    of->second.bytes -= entry->second.bytes;
    of->second.by_place.erase(entry->second.place);
    if (of->second.by_place.empty())
    {
        holdings_.erase(of);
    }
    bytes_ -= entry->second.bytes;
    by_place_.erase(entry->second.place);
    kept_.erase(entry);
}

void request_registry::make_room(const std::string& workspace)
{
    for (auto of = holdings_.find(workspace);
         of != holdings_.end() && of->second.bytes > options_.workspace_bytes;
         of = holdings_.find(workspace))
    {
        evict(key(of->second.by_place.begin()->second));
    }
    while (bytes_ > options_.bytes)
    {
        evict(key(by_place_.begin()->second));
    }
}

} // namespace tanagerhoist
