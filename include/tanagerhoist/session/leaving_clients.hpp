#ifndef TANAGERHOIST_SESSION_LEAVING_CLIENTS_HPP
#define TANAGERHOIST_SESSION_LEAVING_CLIENTS_HPP

#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/session/proxy_transport.hpp"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <optional>

namespace tanagerhoist
{

/// Clients whose session has ended and that have yet to accept their last
/// answer. Bounds their number, their bytes and their time, since clients that
/// never read would use up memory and descriptors one session after another.
class leaving_clients
{
public:
    /// @param most number of clients
    /// @param most_bytes of their last answers together
    /// @param timeout to accept the answer
    leaving_clients(std::size_t most, std::size_t most_bytes,
                    milliseconds timeout)
        : most_(most), most_bytes_(most_bytes), timeout_(timeout)
    {
    }

    /// @param size of the last answer, in bytes
    void add(moment now, session_id client, std::size_t size)
    {
        clients_.push_back({client, now, size});
        bytes_ += size;
    }

    /// Notes that a client has accepted its last answer.
    void remove(session_id client)
    {
        const auto found = std::find_if(clients_.begin(), clients_.end(),
                                        [client](const leaving& entry)
                                        { return entry.client == client; });
        if (found != clients_.end())
        {
            bytes_ -= found->size;
            clients_.erase(found);
        }
    }

    /// Removes the next client whose connection is to be closed: the oldest, if
    /// its time is over or there are too many.
    std::optional<session_id> take_excess(moment now)
    {
        const bool too_many = clients_.size() > most_ || bytes_ > most_bytes_;
        const bool overdue =
            !clients_.empty() && now >= clients_.front().since + timeout_;
        if (!too_many && !overdue)
        {
            return std::nullopt;
        }
        const auto oldest = clients_.front();
        clients_.pop_front();
        bytes_ -= oldest.size;
        return oldest.client;
    }

private:
    struct leaving
    {
        session_id client;
        moment since;
        std::size_t size;
    };

    std::size_t most_;
    std::size_t most_bytes_;
    milliseconds timeout_;
    std::deque<leaving> clients_; ///< the oldest first
    std::size_t bytes_ = 0;
};

} // namespace tanagerhoist

#endif
