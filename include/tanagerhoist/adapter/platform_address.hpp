#ifndef TANAGERHOIST_ADAPTER_PLATFORM_ADDRESS_HPP
#define TANAGERHOIST_ADAPTER_PLATFORM_ADDRESS_HPP

#include "tanagerhoist/settings/platform_client.hpp"

#include <memory>
#include <string>

namespace tanagerhoist
{

/// Creates a client of the platform service at `address`.
/// @param address IP address and port, written ADDRESS:PORT
/// @throws std::invalid_argument if `address` has another form
std::unique_ptr<platform_client>
make_http_platform_client(const std::string& address);

} // namespace tanagerhoist

#endif
