#ifndef TANAGERHOIST_DECISION_CALL_SET_HPP
#define TANAGERHOIST_DECISION_CALL_SET_HPP

#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/decision/outbox.hpp"

#include <cstdint>
#include <set>
#include <string>

namespace tanagerhoist
{

/// The outstanding control calls of one object that may end before they do.
/// Its owner calls `drop` first; no continuation runs afterwards.
class call_set
{
public:
    call_set() = default;
    call_set(const call_set&) = delete;
    call_set& operator=(const call_set&) = delete;

    /// Calls `server` over its control connection.
    void call(outbox& out, const std::string& server, proto::DatabaseCall call,
              milliseconds timeout, outbox::database_handler handler);

    /// Calls the platform.
    void call(outbox& out, proto::PlatformCall call, milliseconds timeout,
              outbox::platform_handler handler);

    /// Forgets every outstanding call.
    void drop(outbox& out);

private:
    std::set<std::uint64_t> tags_;
};

} // namespace tanagerhoist

#endif
