#ifndef TANAGERHOIST_SESSION_RESOURCE_ACCOUNT_HPP
#define TANAGERHOIST_SESSION_RESOURCE_ACCOUNT_HPP

#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/session/proxy_transport.hpp"

#include <cstddef>
#include <optional>
#include <set>
#include <unordered_map>

namespace tanagerhoist
{

/// Bytes that the process holds for one client, or for all of them.
struct held_bytes
{
    std::size_t input = 0;     ///< received, not yet handled
    std::size_t unsent = 0;    ///< answers that the client has not accepted
    std::size_t state = 0;     ///< session values and prepared statements
    std::size_t statement = 0; ///< the last statement

    std::size_t total() const { return input + unsent + state + statement; }
};

/// What closing a client would cost it.
enum class client_activity
{
    starting,   ///< no session yet
    idle,       ///< no transaction and no outstanding statement
    busy,       ///< a transaction or a statement, which the close rolls back
    committing, ///< a commit or write whose outcome the client would not learn
};

/// Memory and connections of the clients of one process, and which of them to
/// close when either runs low. Answers clients that hold more, together, than
/// the process may: each of them stays inside every limit for one client. One
/// client may hold a quarter of what all may, and always one message of the
/// largest size with its answer. Half of the memory and an eighth of the
/// descriptors, and 32 more, are left to the process itself, its servers, peers
/// and store.
class resource_account
{
public:
    /// @param memory bytes that the process may use
    /// @param descriptors files and sockets that it may open
    resource_account(std::size_t memory, std::size_t descriptors);

    void open(moment now, session_id client);
    void close(session_id client);
    void update(session_id client, const held_bytes& held,
                client_activity activity);

    /// Notes that the client has started a session or accepted an answer.
    void note_progress(moment now, session_id client);

    /// The client to close while one client or all of them hold too much: one
    /// that holds too much by itself, else, of those that hold about most, the
    /// one without progress for longest. None is committing.
    std::optional<session_id> to_free_memory() const;

    /// The client to close before another one is accepted: the oldest that has
    /// not started a session, else the one that is idle for longest.
    std::optional<session_id> to_free_connection() const;

    bool is_full() const { return clients_.size() >= max_clients_; }
    const held_bytes& total() const { return total_; }

private:
    struct client
    {
        held_bytes held;
        client_activity activity = client_activity::starting;
        moment progressed{};
    };

    std::size_t max_held_;
    std::size_t max_held_by_one_;
    std::size_t max_clients_;
    held_bytes total_;
    std::unordered_map<session_id, client> clients_;
    /// Clients that hold too much by themselves and are not committing.
    std::set<session_id> excessive_;
};

} // namespace tanagerhoist

#endif
