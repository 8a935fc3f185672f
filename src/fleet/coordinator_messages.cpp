#include "tanagerhoist/fleet/coordinator_messages.hpp"

namespace tanagerhoist
{
namespace
{

/// Reports whose send time is kept; views answer one of the last few.
constexpr std::size_t kept_reports = 16;

/// First numbers lie below this one, to be short in messages.
constexpr std::uint64_t first_sequences = std::uint64_t{1} << 32U;

} // namespace

coordinator_messages::coordinator_messages(std::uint64_t life)
    : sent_sequence_(life % first_sequences)
{
}

bool coordinator_messages::accept_view(moment now, std::uint64_t token,
                                       std::uint64_t sequence)
{
    if (is_outdated(token) || (token == token_ && sequence <= newest_))
    {
        return false;
    }
    token_ = token;
    newest_view_ = sequence;
    newest_ = sequence;
    last_contact_ = now;
    return true;
}

bool coordinator_messages::accept_grants(std::uint64_t token,
                                         std::uint64_t sequence)
{
    if (token != token_ || sequence <= newest_)
    {
        return false;
    }
    newest_ = sequence;
    return true;
}

std::uint64_t coordinator_messages::record_report(moment now)
{
    reports_[++sent_sequence_] = now;
    if (reports_.size() > kept_reports)
    {
        reports_.erase(reports_.begin());
    }
    return sent_sequence_;
}

std::optional<moment>
coordinator_messages::report_sent_at(std::uint64_t sequence) const
{
    const auto it = reports_.find(sequence);
    return it == reports_.end() ? std::nullopt : std::optional(it->second);
}

} // namespace tanagerhoist
