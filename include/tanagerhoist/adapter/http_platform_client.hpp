#ifndef TANAGERHOIST_ADAPTER_HTTP_PLATFORM_CLIENT_HPP
#define TANAGERHOIST_ADAPTER_HTTP_PLATFORM_CLIENT_HPP

#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/settings/platform_client.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace tanagerhoist
{

/// Platform client over HTTP/1.1. Posts each call to `/call` as JSON on one
/// persistent connection, which is reopened after a failure. Not thread-safe;
/// `call` blocks until the reply or the timeout.
class http_platform_client : public platform_client
{
public:
    /// @param address IP address
    /// @param timeout limit of one call, including the time to connect
    http_platform_client(const std::string& address, std::uint16_t port,
                         milliseconds timeout);
    ~http_platform_client() override;

    platform_answer call(const proto::PlatformCall& call) override;

private:
    class connection;
    std::unique_ptr<connection> connection_;
};

} // namespace tanagerhoist

#endif
