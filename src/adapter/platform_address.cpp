#include "tanagerhoist/adapter/platform_address.hpp"

#include "tanagerhoist/adapter/http_platform_client.hpp"

#include <charconv>
#include <stdexcept>

namespace tanagerhoist
{
namespace
{

constexpr milliseconds call_timeout{5000};

} // namespace

std::unique_ptr<platform_client>
make_http_platform_client(const std::string& address)
{
    const auto colon = address.rfind(':');
    std::uint16_t port = 0;
    const char* end = address.data() + address.size();
    if (colon == std::string::npos || colon == 0 ||
        std::from_chars(address.data() + colon + 1, end, port).ptr != end ||
        port == 0)
    {
        throw std::invalid_argument("--platform: expected ADDRESS:PORT");
    }
    return std::make_unique<http_platform_client>(address.substr(0, colon),
                                                  port, call_timeout);
}

} // namespace tanagerhoist
