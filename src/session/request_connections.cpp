#include "tanagerhoist/session/request_connections.hpp"

namespace tanagerhoist
{

request_connections::connection request_connections::open(moment now)
{
    const auto added = next_++;
    connections_[added] = now;
    return added;
}

void request_connections::await_request(moment now, connection which)
{
    const auto it = connections_.find(which);
    if (it != connections_.end())
    {
        it->second = now;
    }
}

void request_connections::begin_answer(connection which)
{
    const auto it = connections_.find(which);
    if (it != connections_.end())
    {
        it->second.reset();
    }
}

void request_connections::close(connection which)
{
    connections_.erase(which);
}

bool request_connections::may_accept(moment now) const
{
    return !is_full() || to_free(now);
}

std::optional<request_connections::connection>
request_connections::to_free(moment now) const
{
    if (!is_full())
    {
        return std::nullopt;
    }
    std::optional<connection> chosen;
    auto oldest = now - min_wait;
    for (const auto& [which, since] : connections_)
    {
        if (since && *since <= oldest)
        {
            chosen = which;
            oldest = *since;
        }
    }
    return chosen;
}

} // namespace tanagerhoist
