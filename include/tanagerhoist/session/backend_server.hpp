#ifndef TANAGERHOIST_SESSION_BACKEND_SERVER_HPP
#define TANAGERHOIST_SESSION_BACKEND_SERVER_HPP

#include "tanagerhoist/core/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace tanagerhoist
{

/// A backend server as it last registered itself.
struct backend_server
{
    std::string id;
    std::string group;
    std::string address; ///< IP number
    std::uint16_t port = 0;
    std::string data_centre;
    unsigned slots = 1;          ///< statements it runs concurrently
    bool draining = false;       ///< accepts no new work
    bool claims_primary = false; ///< its own view, which may be out of date
    std::uint64_t born_ms = 0;   ///< process start in Unix ms; 0: unknown
    /// From when on nothing may be sent to it, because its data centre is
    /// evacuated; until then its work ends.
    std::optional<moment> closes_at;
    /// Rest of its warm-up when it registered itself; nullopt: unknown.
    std::optional<milliseconds> warmup_left;

    bool is_evacuated() const { return closes_at.has_value(); }
    bool is_closed(moment now) const { return closes_at && now >= *closes_at; }

    /// Whether it gets no new work that another server can run.
    bool is_leaving() const { return draining || is_evacuated(); }
};

/// Servers by id; iteration order is deterministic.
using server_list = std::map<std::string, backend_server>;

} // namespace tanagerhoist

#endif
