#ifndef TANAGERHOIST_RECORD_TIMELINE_SVG_HPP
#define TANAGERHOIST_RECORD_TIMELINE_SVG_HPP

#include "messages.pb.h"

#include <string>
#include <vector>

namespace tanagerhoist
{

/// Draws events as SVG: one lane per VM, hybrid time from left to right. Steps
/// of requests are dots, red if refused; changes of state are labelled marks.
std::string to_svg(const std::vector<proto::Event>& events);

} // namespace tanagerhoist

#endif
