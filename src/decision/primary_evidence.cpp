#include "tanagerhoist/decision/primary_evidence.hpp"

#include <algorithm>

namespace tanagerhoist
{

namespace
{

std::size_t majority(std::size_t of)
{
    return of / 2 + 1;
}

primary_state lost_or_doubtful(bool corroborated)
{
    return corroborated ? primary_state::lost : primary_state::doubtful;
}

} // namespace

primary_evidence::primary_evidence(std::vector<std::string> servers,
                                   evidence_options options)
    : options_(options)
{
    for (auto& server : servers)
    {
        servers_[std::move(server)] = {};
    }
}

void primary_evidence::restart(moment now)
{
    answers_.clear();
    for (auto& [server, entry] : servers_)
    {
        entry = {};
        entry.last_good = now;
    }
}

void primary_evidence::on_status(moment now, const std::string& server,
                                 const proto::StatusReply& status)
{
    highest_term_ =
        std::max({highest_term_, status.sealed_term(), status.last().term()});
    const auto found = servers_.find(server);
    if (found == servers_.end())
    {
        return;
    }
    auto& entry = found->second;
    if (!entry.heard || entry.status.sealed_term() != status.sealed_term())
    {
        entry.sealed_at = now;
    }
    entry.failed_probes = 0;
    entry.heard = true;
    entry.last_good = now;
    entry.status_at = now;
    entry.status = status;
}

void primary_evidence::on_probe_failure(moment, const std::string& server)
{
    const auto found = servers_.find(server);
    if (found != servers_.end())
    {
        ++found->second.failed_probes;
    }
}

void primary_evidence::on_answer(moment now, const std::string& vm,
                                 bool reachable)
{
    answers_[vm] = {now, reachable};
}

bool primary_evidence::unreachable(moment now, const std::string& server) const
{
    const auto found = servers_.find(server);
    return found == servers_.end() ||
           (found->second.failed_probes >= options_.failed_probes &&
            now - found->second.last_good >= options_.unreachable_after);
}

bool primary_evidence::reachable(moment now, const std::string& server) const
{
    const auto found = servers_.find(server);
    return found != servers_.end() && found->second.heard &&
           found->second.failed_probes == 0 &&
           now - found->second.last_good < options_.unreachable_after;
}

bool primary_evidence::replicating(moment now, const std::string& server) const
{
    const auto* status = fresh_status(now, server);
    return status != nullptr && status->primary() &&
           status->replicas_silent_ms() < to_ms(options_.silent_after);
}

const proto::StatusReply*
primary_evidence::fresh_status(moment now, const std::string& server) const
{
    const auto found = servers_.find(server);
    if (found == servers_.end() || !found->second.heard ||
        now - found->second.status_at > options_.max_evidence_age)
    {
        return nullptr;
    }
    return &found->second.status;
}

bool primary_evidence::silent(const proto::StatusReply& status) const
{
    return !status.primary() &&
           status.primary_silent_ms() >= to_ms(options_.silent_after);
}

std::size_t primary_evidence::silent_servers(moment now,
                                             const std::string& except) const
{
    std::size_t count = 0;
    for (const auto& [server, entry] : servers_)
    {
        const auto* status = fresh_status(now, server);
        count += server != except && status != nullptr && silent(*status);
    }
    return count;
}

bool primary_evidence::others_silent(moment now,
                                     const std::string& primary) const
{
    const std::size_t others = servers_.size() - servers_.count(primary);
    return silent_servers(now, primary) >= majority(others);
}

bool primary_evidence::watchers_agree(moment now, std::size_t watchers) const
{
    std::size_t agreeing = 1; // this VM's own probes
    for (const auto& [vm, answer] : answers_)
    {
        agreeing +=
            !answer.reachable && now - answer.at <= options_.max_evidence_age;
    }
    return agreeing > 1 && agreeing >= majority(watchers);
}

bool primary_evidence::has_newer_seal(moment now, std::uint64_t term) const
{
    for (const auto& [server, entry] : servers_)
    {
        const auto* status = fresh_status(now, server);
        if (status != nullptr && status->sealed_term() > term)
        {
            return true;
        }
    }
    return false;
}

// Whether a promotion sealed a server above `term` and was then abandoned. Such
// a server accepts no entries until there is a primary of a higher term.
bool primary_evidence::has_abandoned_seal_above(moment now,
                                                std::uint64_t term) const
{
    bool stranded = false;
    for (const auto& [server, entry] : servers_)
    {
        const auto* status = fresh_status(now, server);
        if (status == nullptr || status->sealed_term() <= term)
        {
            continue;
        }
        if (!silent(*status))
        {
            return false; // it is primary, or follows one not known here
        }
        stranded |= now - entry.sealed_at >= options_.silent_after;
    }
    return stranded;
}

primary_state primary_evidence::assess_unknown_primary(moment now) const
{
    for (const auto& [server, entry] : servers_)
    {
        const auto* status = fresh_status(now, server);
        if (status != nullptr && !silent(*status))
        {
            return primary_state::doubtful;
        }
    }
    return lost_or_doubtful(silent_servers(now, {}) >=
                            majority(servers_.size()));
}

primary_state primary_evidence::assess_reachable_primary(
    moment now, const proto::PrimaryBelief& believed,
    const proto::StatusReply& status) const
{
    if (!status.primary())
    {
        return lost_or_doubtful(silent_servers(now, {}) >=
                                majority(servers_.size()));
    }
    if (status.replicas_silent_ms() >= to_ms(options_.silent_after))
    {
        return lost_or_doubtful(others_silent(now, believed.server()));
    }
    return primary_state::healthy;
}

primary_state primary_evidence::assess(moment now,
                                       const proto::PrimaryBelief* believed,
                                       std::size_t watchers) const
{
    if (believed == nullptr)
    {
        return assess_unknown_primary(now);
    }
    const std::string& primary = believed->server();
    if (has_abandoned_seal_above(now, believed->term()))
    {
        return primary_state::lost;
    }
    if (unreachable(now, primary))
    {
        return lost_or_doubtful(watchers_agree(now, watchers) ||
                                others_silent(now, primary));
    }
    const auto* status = fresh_status(now, primary);
    if (status == nullptr || has_newer_seal(now, believed->term()))
    {
        return primary_state::doubtful;
    }
    const auto state = assess_reachable_primary(now, *believed, *status);
    const bool probe_failed = servers_.at(primary).failed_probes > 0;
    return state == primary_state::healthy && probe_failed
               ? primary_state::doubtful
               : state;
}

} // namespace tanagerhoist
