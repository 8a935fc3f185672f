#ifndef TANAGERHOIST_SESSION_POSITION_HISTORY_HPP
#define TANAGERHOIST_SESSION_POSITION_HISTORY_HPP

#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/session/log_position.hpp"

#include <deque>
#include <optional>

namespace tanagerhoist
{

/// A position that the rightful primary told, and the time before which all
/// acknowledged commits are in it.
struct position_sample
{
    moment covers{};
    log_position position;
};

/// Positions of one group's primary over the last seconds. A read at a replica
/// that holds a sample's position has seen everything acknowledged before the
/// sample's time.
class position_history
{
public:
    void add(const position_sample& sample);

    /// The lowest position that covers everything acknowledged before
    /// `oldest`; nothing if no sample is that young.
    std::optional<log_position> position_covering(moment oldest) const;

    std::optional<position_sample> newest() const;
    void clear() { samples_.clear(); }

private:
    std::deque<position_sample> samples_; ///< in order of time and position
};

} // namespace tanagerhoist

#endif
