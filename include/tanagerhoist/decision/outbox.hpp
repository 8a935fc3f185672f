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

/// Collects what the decision layer wants done, and routes the answers back.
///
/// A module that calls a database or the platform hands over a continuation.
/// The outbox allots the tag; `take_*` gives the continuation back, once, when
/// the answer, or its failure, arrives. Late answers find none and are ignored.
class outbox
{
public:
    /// Runs with the reply, or with null when the call failed. `sent` is true
    /// unless the call provably never reached the server.
    using database_handler = std::function<void(
        moment now, const proto::DatabaseReply* reply, bool sent)>;

    /// Runs with the reply, or with null when the outcome is unknown.
    using platform_handler =
        std::function<void(moment now, const proto::PlatformReply* reply)>;

    /// Calls `server` over `connection`; 0 means its control connection.
    /// @return tag of the call
    std::uint64_t call_database(std::string server, std::uint64_t connection,
                                proto::DatabaseCall call, milliseconds timeout,
                                database_handler handler);

    /// Calls the platform.
    /// @return tag of the call
    std::uint64_t call_platform(proto::PlatformCall call, milliseconds timeout,
                                platform_handler handler);

    /// Sends `message` to VM `to`, to its incarnation `number` or, if 0, to
    /// any. The sender's identity is stamped on by the node.
    void send_peer(const std::string& to, std::uint64_t number,
                   proto::PeerMessage message);

    /// Adds an action that needs no answer.
    void add(proto::Action action);

    /// Notes an event for the record; identity, time and sequence are stamped
    /// on by the node.
    void note(proto::Event event);

    /// Takes the continuation of a database call; empty if there is none.
    database_handler take_database(std::uint64_t tag);

    /// Takes the continuation of a platform call; empty if there is none.
    platform_handler take_platform(std::uint64_t tag);

    /// Drops the continuation of a call whose answer no longer matters.
    void forget(std::uint64_t tag);

    /// Takes all actions collected since the last call.
    std::vector<proto::Action> take_actions();

    /// Takes all events collected since the last call.
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
