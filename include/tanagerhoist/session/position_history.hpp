#ifndef TANAGERHOIST_SESSION_POSITION_HISTORY_HPP
#define TANAGERHOIST_SESSION_POSITION_HISTORY_HPP

#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/session/log_position.hpp"

#include <deque>
#include <optional>

namespace tanagerhoist
{

/// A log position reported by the current primary. It includes all commits
/// acknowledged before `covers`.
struct position_sample
{
    moment covers{};
    log_position position;
};

/// Recent log positions of one group's primary. A replica whose log includes a
/// sample's position has every commit acknowledged before the sample's time.
class position_history
{
public:
    void add(const position_sample& sample);

    /// @return the lowest known position that includes every commit
    /// acknowledged before `oldest`; nullopt if no sample is recent enough
    std::optional<log_position> position_covering(moment oldest) const;

    std::optional<position_sample> newest() const;
    void clear() { samples_.clear(); }

private:
    std::deque<position_sample> samples_; ///< ordered by time and position
};

} // namespace tanagerhoist

#endif
