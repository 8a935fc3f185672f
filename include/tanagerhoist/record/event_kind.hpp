#ifndef TANAGERHOIST_RECORD_EVENT_KIND_HPP
#define TANAGERHOIST_RECORD_EVENT_KIND_HPP

#include "messages.pb.h"

namespace tanagerhoist
{

/// Whether `event` is a step of one request rather than a change of the VM's
/// or a database's state.
bool is_request_step(const proto::Event& event);

/// Whether `event` may be dropped first when memory is short: a step of a
/// request that has not been refused.
bool is_low_priority(const proto::Event& event);

} // namespace tanagerhoist

#endif
