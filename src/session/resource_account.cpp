#include "tanagerhoist/session/resource_account.hpp"

#include <algorithm>
#include <tuple>

namespace tanagerhoist
{
namespace
{

constexpr std::size_t memory_divisor = 2;     // half is the process's own
constexpr std::size_t client_divisor = 4;     // one client's part of the rest
constexpr std::size_t descriptor_divisor = 8; // an eighth is the process's own
constexpr std::size_t own_descriptors = 32;   // besides, for files and ports

/// What one message of the largest size can take: the statement and its value
/// in all copies, and the buffers, whose capacity may be twice their content.
constexpr std::size_t largest_message_held = std::size_t{16} << 20U; // bytes

void add(held_bytes& sum, const held_bytes& part)
{
    sum.input += part.input;
    sum.unsent += part.unsent;
    sum.state += part.state;
    sum.statement += part.statement;
}

void subtract(held_bytes& sum, const held_bytes& part)
{
    sum.input -= part.input;
    sum.unsent -= part.unsent;
    sum.state -= part.state;
    sum.statement -= part.statement;
}

/// Number of binary digits, so that sizes within a factor of two may be equal.
unsigned size_class(std::size_t bytes)
{
    unsigned digits = 0;
    for (; bytes != 0; bytes >>= 1U)
    {
        ++digits;
    }
    return digits;
}

} // namespace

resource_account::resource_account(std::size_t memory, std::size_t descriptors)
    : max_held_(memory / memory_divisor),
      max_held_by_one_(
          std::max(max_held_ / client_divisor, largest_message_held)),
      max_clients_(descriptors - descriptors / descriptor_divisor -
                   own_descriptors)
{
}

void resource_account::open(moment now, session_id client)
{
    clients_[client].progressed = now;
}

void resource_account::close(session_id client)
{
    const auto it = clients_.find(client);
    if (it != clients_.end())
    {
        subtract(total_, it->second.held);
        clients_.erase(it);
        excessive_.erase(client);
    }
}

void resource_account::update(session_id client, const held_bytes& held,
                              client_activity activity)
{
    const auto it = clients_.find(client);
    if (it == clients_.end())
    {
        return;
    }
    subtract(total_, it->second.held);
    add(total_, held);
    it->second.held = held;
    it->second.activity = activity;
    if (held.total() > max_held_by_one_ &&
        activity != client_activity::committing)
    {
        excessive_.insert(client);
    }
    else
    {
        excessive_.erase(client);
    }
}

void resource_account::note_progress(moment now, session_id client)
{
    const auto it = clients_.find(client);
    if (it != clients_.end())
    {
        it->second.progressed = now;
    }
}

std::optional<session_id> resource_account::to_free_memory() const
{
    if (!excessive_.empty())
    {
        return *excessive_.begin();
    }
    if (total_.total() <= max_held_)
    {
        return std::nullopt;
    }
    std::optional<session_id> chosen;
    unsigned largest = 0;
    moment oldest{};
    for (const auto& [id, client] : clients_)
    {
        const auto size = size_class(client.held.total());
        const bool first =
            size > largest || (size == largest && client.progressed < oldest);
        if (client.activity != client_activity::committing && size != 0 &&
            first)
        {
            chosen = id;
            largest = size;
            oldest = client.progressed;
        }
    }
    return chosen;
}

std::optional<session_id> resource_account::to_free_connection() const
{
    std::optional<session_id> chosen;
    auto best = std::make_tuple(client_activity::busy, moment::max());
    for (const auto& [id, client] : clients_)
    {
        const auto rank = std::make_tuple(client.activity, client.progressed);
        if (client.activity < client_activity::busy && rank < best)
        {
            chosen = id;
            best = rank;
        }
    }
    return chosen;
}

} // namespace tanagerhoist
