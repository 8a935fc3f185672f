#ifndef TANAGERHOIST_CORE_LOG_POINT_HPP
#define TANAGERHOIST_CORE_LOG_POINT_HPP

#include "messages.pb.h"

#include <tuple>

namespace tanagerhoist
{

/// Total order of log points: by term, then by position. Each promotion starts
/// its term with a new log entry, so a log that ends in a later term contains
/// every entry confirmed in an earlier one, regardless of the positions.
inline bool operator<(const proto::LogPoint& a, const proto::LogPoint& b)
{
    return std::make_tuple(a.term(), a.position()) <
           std::make_tuple(b.term(), b.position());
}

/// Whether a log that ends at `log` contains every entry confirmed up to
/// `point`.
inline bool covers(const proto::LogPoint& log, const proto::LogPoint& point)
{
    return !(log < point);
}

/// Returns the log point at `position` of `term`.
inline proto::LogPoint make_point(std::uint64_t term, std::uint64_t position)
{
    proto::LogPoint point;
    point.set_term(term);
    point.set_position(position);
    return point;
}

} // namespace tanagerhoist

#endif
