#ifndef TANAGERHOIST_FLEET_LASTING_CONDITION_HPP
#define TANAGERHOIST_FLEET_LASTING_CONDITION_HPP

#include "tanagerhoist/core/time.hpp"

#include <optional>

namespace tanagerhoist
{

/// A condition that counts only once it has held for some time.
class lasting_condition
{
public:
    /// Notes whether the condition holds now.
    void update(moment now, bool holds)
    {
        if (!holds)
        {
            since_.reset();
        }
        else if (!since_)
        {
            since_ = now;
        }
    }

    /// Whether it has held at each update for at least `time`.
    bool has_lasted(moment now, milliseconds time) const
    {
        return since_ && now >= *since_ + time;
    }

private:
    std::optional<moment> since_;
};

} // namespace tanagerhoist

#endif
