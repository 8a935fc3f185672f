#ifndef TANAGERHOIST_TOOLS_LOAD_DUMPS_HPP
#define TANAGERHOIST_TOOLS_LOAD_DUMPS_HPP

#include "caller.hpp"
#include "standin.pb.h"

#include <optional>
#include <string>

namespace tanagerhoist::load
{

/// What a stand-in database server holds; nothing if it gives no answer.
std::optional<proto::standin::DatabaseDump> dump_of(caller& calls,
                                                    const endpoint& server);

/// What the primary of the highest term holds; nothing if no server of the
/// group that answers is a primary.
std::optional<proto::standin::DatabaseDump>
primary_dump(caller& calls, const fleet& all, const std::string& database);

} // namespace tanagerhoist::load

#endif
