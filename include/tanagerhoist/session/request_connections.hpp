#ifndef TANAGERHOIST_SESSION_REQUEST_CONNECTIONS_HPP
#define TANAGERHOIST_SESSION_REQUEST_CONNECTIONS_HPP

#include "tanagerhoist/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace tanagerhoist
{

/// Connections of one HTTP port, and which of them to close before another one
/// is accepted. Answers a crowd that opens connections, sends no request or an
/// unfinished one, and connects again when closed: each connection has
/// `min_wait` to send its request, and a request that has arrived is answered.
class request_connections
{
public:
    using connection = std::uint64_t;

    /// Time that a connection has for a request, however many wait.
    static constexpr milliseconds min_wait{20};

    /// @param most connections at once
    explicit request_connections(std::size_t most) : most_(most) {}

    /// Adds a connection, which awaits a request.
    connection open(moment now);
    void await_request(moment now, connection which);
    void begin_answer(connection which);
    void close(connection which);

    /// Whether another one may be accepted, after the close of `to_free`.
    bool may_accept(moment now) const;

    /// The connection to close before another one is opened: the one that
    /// awaits a request for longest, and at least for `min_wait`.
    /// @return nothing if there is room, or no such connection
    std::optional<connection> to_free(moment now) const;

    bool is_full() const { return connections_.size() >= most_; }

private:
    std::size_t most_;
    connection next_ = 1;
    /// Since when each awaits a request; nothing while one is answered.
    std::unordered_map<connection, std::optional<moment>> connections_;
};

} // namespace tanagerhoist

#endif
