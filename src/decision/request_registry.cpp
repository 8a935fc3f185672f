#include "tanagerhoist/decision/request_registry.hpp"

#include <xxhash.h>

namespace tanagerhoist
{
namespace
{

/// Estimated memory overhead per kept answer.
constexpr std::size_t entry_overhead_bytes = 512;

std::uint64_t hash_with_seed(std::uint64_t seed, const std::string& text)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

/// Hash of the fields that must be equal in a repeat. The token is excluded,
/// since the session may have seen newer data before it repeats a request.
std::uint64_t fingerprint_of(const proto::CallerRequest& request)
{
    std::uint64_t digest = hash_with_seed(0, request.route());
    digest = hash_with_seed(digest, request.statement());
    digest = hash_with_seed(digest, request.transaction());
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
    const auto in_flight_entry = in_flight_.find(id);
    if (in_flight_entry == in_flight_.end())
    {
        in_flight_.emplace(id, in_flight_request{fingerprint, call, {call}});
        key_of_call_.emplace(call, id);
        return {arrival::first, nullptr};
    }
    if (in_flight_entry->second.fingerprint != fingerprint)
    {
        return {arrival::mismatch, nullptr};
    }
    if (in_flight_entry->second.calls.size() > options_.max_waiting_repeats)
    {
        return {arrival::too_many_repeats, nullptr};
    }
    in_flight_entry->second.calls.insert(call);
    key_of_call_.emplace(call, id);
    return {arrival::attached, nullptr};
}

std::vector<std::uint64_t>
request_registry::finish(moment now, std::uint64_t call,
                         const proto::CallerReply& answer, bool keep)
{
    const auto known = key_of_call_.find(call);
    if (known == key_of_call_.end())
    {
        return {call};
    }
    const key id = known->second;
    const in_flight_request ended = std::move(in_flight_.extract(id).mapped());
    key_of_call_.erase(ended.first);
    for (const std::uint64_t each : ended.calls)
    {
        key_of_call_.erase(each);
    }
    if (keep)
    {
        keep_answer(now, id, ended.fingerprint, answer);
    }
    return {ended.calls.begin(), ended.calls.end()};
}

void request_registry::drop(std::uint64_t call)
{
    const auto known = key_of_call_.find(call);
    if (known == key_of_call_.end())
    {
        return;
    }
    in_flight_request& of = in_flight_[known->second];
    of.calls.erase(call);
    if (of.first != call)
    {
        key_of_call_.erase(known);
    }
}

void request_registry::on_tick(moment now)
{
    while (!kept_by_sequence_.empty())
    {
        const key oldest = kept_by_sequence_.begin()->second;
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
    entry.sequence = next_sequence_++;
    entry.until = now + options_.keep;
    entry.bytes = entry_overhead_bytes + id.first.size() +
                  2 * id.second.size() + answer.ByteSizeLong();
    entry.answer = answer;
    workspace_answers& of = kept_by_workspace_[id.first];
    of.bytes += entry.bytes;
    of.by_sequence.emplace(entry.sequence, id);
    bytes_ += entry.bytes;
    kept_by_sequence_.emplace(entry.sequence, id);
    kept_.emplace(id, std::move(entry));
    evict_excess(id.first);
}

void request_registry::evict(const key& id)
{
    const auto entry = kept_.find(id);
    if (entry == kept_.end())
    {
        return;
    }
    const auto of = kept_by_workspace_.find(id.first);
    of->second.bytes -= entry->second.bytes;
    of->second.by_sequence.erase(entry->second.sequence);
    if (of->second.by_sequence.empty())
    {
        kept_by_workspace_.erase(of);
    }
    bytes_ -= entry->second.bytes;
    kept_by_sequence_.erase(entry->second.sequence);
    kept_.erase(entry);
}

void request_registry::evict_excess(const std::string& workspace)
{
    for (auto of = kept_by_workspace_.find(workspace);
         of != kept_by_workspace_.end() &&
         of->second.bytes > options_.workspace_bytes;
         of = kept_by_workspace_.find(workspace))
    {
        evict(key(of->second.by_sequence.begin()->second));
    }
    while (bytes_ > options_.bytes)
    {
        evict(key(kept_by_sequence_.begin()->second));
    }
}

} // namespace tanagerhoist
