#ifndef TANAGERHOIST_SESSION_BACKEND_SERVER_HPP
#define TANAGERHOIST_SESSION_BACKEND_SERVER_HPP

#include <cstdint>
#include <map>
#include <string>

namespace tanagerhoist
{

/// One backend server as it last described itself.
struct backend_server
{
    std::string id;
    std::string group;
    std::string address; ///< IP number
    std::uint16_t port = 0;
    std::string data_centre;
    unsigned slots = 1;          ///< statements that run at once
    bool draining = false;       ///< takes no new work
    bool claims_primary = false; ///< its own belief; it may be superseded
    std::uint64_t born_ms = 0; ///< start of its process, Unix time; 0: unknown
};

/// Servers by id, in a fixed order.
using server_list = std::map<std::string, backend_server>;

} // namespace tanagerhoist

#endif
