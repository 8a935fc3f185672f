#ifndef TANAGERHOIST_RECORD_EXPLANATION_HPP
#define TANAGERHOIST_RECORD_EXPLANATION_HPP

#include "messages.pb.h"

#include <string>
#include <vector>

namespace tanagerhoist
{

/// Explains in sentences why a request was served, delayed or refused. Each
/// time is the wall time of the VM that recorded the event.
/// @param events the merged events of all processes, in order; state changes
///   that happened meanwhile and concern the request are included
/// @param request_id request id chosen by the caller
/// @return one sentence per event; a single sentence if no event names the
///   request
std::vector<std::string> explain(const std::vector<proto::Event>& events,
                                 const std::string& request_id);

} // namespace tanagerhoist

#endif
