#ifndef TANAGERHOIST_ADAPTER_HTTP_PLATFORM_CLIENT_HPP
#define TANAGERHOIST_ADAPTER_HTTP_PLATFORM_CLIENT_HPP

#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/settings/platform_client.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace tanagerhoist
{

/// Platform access by HTTP/1.1: each call is posted to `/call` as JSON, on one
/// connection that is kept and opened anew after a failure. For programs with
/// one thread; the calling thread blocks until the answer or the timeout.
class http_platform_client : public platform_client
{
public:
    /// @param address IP number
    /// @param timeout of one call, connecting included
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
