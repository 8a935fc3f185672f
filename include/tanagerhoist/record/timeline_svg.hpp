#ifndef TANAGERHOIST_RECORD_TIMELINE_SVG_HPP
#define TANAGERHOIST_RECORD_TIMELINE_SVG_HPP

#include "messages.pb.h"

#include <string>
#include <vector>

namespace tanagerhoist
{

/// Renders events as SVG, with one lane per VM and hybrid time from left to
/// right. Request steps are dots, red if they carry an error code; state
/// changes are labelled lines.
std::string to_svg(const std::vector<proto::Event>& events);

} // namespace tanagerhoist

#endif
