#ifndef TANAGERHOIST_RECORD_EVENT_KIND_HPP
#define TANAGERHOIST_RECORD_EVENT_KIND_HPP

#include "messages.pb.h"

namespace tanagerhoist
{

/// Whether `event` describes a step of one request, as opposed to a change of
/// the state of the VM or of a database.
bool is_request_step(const proto::Event& event);

/// Whether `event` is dropped first when memory is short. This holds for steps
/// with result code 0, that is, for requests that have not been refused.
bool is_low_priority(const proto::Event& event);

} // namespace tanagerhoist

#endif
