#ifndef TANAGERHOIST_SETTINGS_PLATFORM_CLIENT_HPP
#define TANAGERHOIST_SETTINGS_PLATFORM_CLIENT_HPP

#include "messages.pb.h"

#include <optional>

namespace tanagerhoist
{

/// What came of one call to the platform.
struct platform_answer
{
    std::optional<proto::PlatformReply> reply; ///< empty: outcome unknown
    bool sent = false; ///< false only if it provably never left this process
};

/// Synchronous access to the platform's table service and object store.
class platform_client
{
public:
    platform_client() = default;
    platform_client(const platform_client&) = delete;
    platform_client& operator=(const platform_client&) = delete;
    virtual ~platform_client() = default;

    /// Makes one call and waits for its answer or its timeout.
    virtual platform_answer call(const proto::PlatformCall& call) = 0;
};

} // namespace tanagerhoist

#endif
