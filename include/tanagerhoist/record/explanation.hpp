#ifndef TANAGERHOIST_RECORD_EXPLANATION_HPP
#define TANAGERHOIST_RECORD_EXPLANATION_HPP

#include "messages.pb.h"

#include <string>
#include <vector>

namespace tanagerhoist
{

/// Sentences that say why a request was served, delayed or refused. Times are
/// of the VM that took the step.
/// @param events the merged events of all processes, in order; changes of
///   state are taken from them too
/// @param request_id id that the caller chose
/// @return one sentence each; a single one if no event names the request
std::vector<std::string> explain(const std::vector<proto::Event>& events,
                                 const std::string& request_id);

} // namespace tanagerhoist

#endif
