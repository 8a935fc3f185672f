#ifndef TANAGERHOIST_DECISION_OUTBOX_HPP
#define TANAGERHOIST_DECISION_OUTBOX_HPP

#include "messages.pb.h"
#include "tanagerhoist/core/time.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace tanagerhoist
{

/// Collects the actions of the decision layer and dispatches replies.
///
/// A module that calls a database or the platform passes a handler. The outbox
/// assigns a tag to the call; `take_*` returns the handler once, when the reply
/// or failure arrives. Replies without a handler, such as late ones, are
/// ignored.
class outbox
{
public:
    /// Called with the reply, or with null if the call failed. `sent` is false
    /// only if the call provably never reached the server.
    using database_handler = std::function<void(
        moment now, const proto::DatabaseReply* reply, bool sent)>;

    /// Called with the reply, or with null if the outcome is unknown.
    using platform_handler =
        std::function<void(moment now, const proto::PlatformReply* reply)>;

    /// Calls `server` over `connection`; 0 selects its control connection.
    /// @return tag of the call
    std::uint64_t call_database(std::string server, std::uint64_t connection,
                                proto::DatabaseCall call, milliseconds timeout,
                                database_handler handler);

    /// Calls the platform.
    /// @return tag of the call
    std::uint64_t call_platform(proto::PlatformCall call, milliseconds timeout,
                                platform_handler handler);

    /// Sends `message` to incarnation `number` of VM `to`, or to any
    /// incarnation if 0. The node sets the sender's identity.
    void send_peer(const std::string& to, std::uint64_t number,
                   proto::PeerMessage message);

    /// Adds an action that has no reply.
    void add(proto::Action action);

    /// Records an event; the node sets its identity, time and sequence number.
    void note(proto::Event event);

    /// Removes and returns the handler of a database call; empty if none.
    database_handler take_database(std::uint64_t tag);

    /// Removes and returns the handler of a platform call; empty if none.
    platform_handler take_platform(std::uint64_t tag);

    /// Discards the handler of a call whose reply is no longer needed.
    void forget(std::uint64_t tag);

    /// Removes and returns the actions collected since the last call.
    std::vector<proto::Action> take_actions();

    /// Removes and returns the events recorded since the last call.
    std::vector<proto::Event> take_events();

private:
    std::uint64_t next_tag_ = 1;
    std::vector<proto::Action> actions_;
    std::vector<proto::Event> events_;
    std::unordered_map<std::uint64_t, database_handler> database_;
    std::unordered_map<std::uint64_t, platform_handler> platform_;
};

} // namespace tanagerhoist

#endif
