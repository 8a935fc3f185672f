#ifndef TANAGERHOIST_SETTINGS_PLATFORM_CLIENT_HPP
#define TANAGERHOIST_SETTINGS_PLATFORM_CLIENT_HPP

#include "messages.pb.h"

#include <optional>

namespace tanagerhoist
{

/// Result of one call to the platform.
struct platform_answer
{
    /// Empty if the outcome is unknown.
    std::optional<proto::PlatformReply> reply;
    bool sent = false; ///< false only if the call was certainly not sent
};

/// Synchronous access to the platform's table service and object store.
class platform_client
{
public:
    platform_client() = default;
    platform_client(const platform_client&) = delete;
    platform_client& operator=(const platform_client&) = delete;
    virtual ~platform_client() = default;

    /// Makes one call and blocks until its answer or its timeout.
    virtual platform_answer call(const proto::PlatformCall& call) = 0;
};

} // namespace tanagerhoist

#endif
