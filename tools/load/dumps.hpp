#ifndef TANAGERHOIST_TOOLS_LOAD_DUMPS_HPP
#define TANAGERHOIST_TOOLS_LOAD_DUMPS_HPP

#include "load_client.hpp"
#include "standin.pb.h"

#include <optional>
#include <string>

namespace tanagerhoist::load
{

/// What a stand-in database server holds; nothing if it gives no answer.
std::optional<proto::standin::DatabaseDump> read_dump(load_client& client,
                                                      const endpoint& server);

/// What the primary of the highest term holds; nothing if no server of the
/// group that answers is a primary.
std::optional<proto::standin::DatabaseDump>
read_primary_dump(load_client& client, const fleet_config& fleet,
                  const std::string& database);

} // namespace tanagerhoist::load

#endif
