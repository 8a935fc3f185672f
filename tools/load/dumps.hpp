#ifndef TANAGERHOIST_TOOLS_LOAD_DUMPS_HPP
#define TANAGERHOIST_TOOLS_LOAD_DUMPS_HPP

#include "load_client.hpp"
#include "standin.pb.h"

#include <optional>
#include <string>

namespace tanagerhoist::load
{

/// Log and store of a stand-in database server; nothing if it doesn't answer.
std::optional<proto::standin::DatabaseDump> read_dump(load_client& client,
                                                      const endpoint& server);

/// Log and store of the primary with the highest term; nothing if no server of
/// the group that answers is a primary.
std::optional<proto::standin::DatabaseDump>
read_primary_dump(load_client& client, const fleet_config& fleet,
                  const std::string& database);

} // namespace tanagerhoist::load

#endif
