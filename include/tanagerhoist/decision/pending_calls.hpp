#ifndef TANAGERHOIST_DECISION_PENDING_CALLS_HPP
#define TANAGERHOIST_DECISION_PENDING_CALLS_HPP

#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/decision/outbox.hpp"

#include <cstdint>
#include <set>
#include <string>

namespace tanagerhoist
{

/// Tracks the pending control calls of an object that may be destroyed before
/// they complete. The owner must call `drop` before its destruction; no handler
/// runs afterwards.
class pending_calls
{
public:
    pending_calls() = default;
    pending_calls(const pending_calls&) = delete;
    pending_calls& operator=(const pending_calls&) = delete;

    /// Calls `server` over its control connection.
    void call(outbox& out, const std::string& server, proto::DatabaseCall call,
              milliseconds timeout, outbox::database_handler handler);

    /// Calls the platform.
    void call(outbox& out, proto::PlatformCall call, milliseconds timeout,
              outbox::platform_handler handler);

    /// Discards the handlers of all pending calls.
    void drop(outbox& out);

private:
    std::set<std::uint64_t> tags_;
};

} // namespace tanagerhoist

#endif
