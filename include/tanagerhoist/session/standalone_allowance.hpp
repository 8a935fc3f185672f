#ifndef TANAGERHOIST_SESSION_STANDALONE_ALLOWANCE_HPP
#define TANAGERHOIST_SESSION_STANDALONE_ALLOWANCE_HPP

#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/decision/token_bucket.hpp"
#include "tanagerhoist/session/coordinator_times.hpp"

#include <algorithm>
#include <cstdint>

namespace tanagerhoist
{

/// How long a VM may rely on what it was told, counted back from the last
/// message of the coordinator.
constexpr milliseconds standalone_lifetime{5000};

/// Longest time between two messages of a coordinator that is only late.
constexpr milliseconds late_coordinator_time =
    report_interval + grant_answer_timeout;

/// How long operations that were handed to a deputy may be granted.
constexpr milliseconds handed_lifetime{500};

/// Operations of one workspace that a VM may admit while it has no coordinator.
/// The last coordinator has told how many, so that all VMs together stay within
/// the workspace's limit.
class standalone_allowance
{
public:
    /// Takes over what the coordinator allows.
    /// @param per_s operations per second
    /// @param at_once operations from the start
    void use(moment now, double per_s, std::uint64_t at_once)
    {
        told_ = now;
        per_s_ = per_s;
        at_once_ = static_cast<double>(at_once);
    }

    /// Takes one operation.
    /// @param heard when the coordinator was last heard from
    bool take(moment now, moment heard)
    {
        if (!fill(now, heard) || left_ < 1)
        {
            return false;
        }
        left_ -= 1;
        of_start_ = std::max(0.0, of_start_ - 1);
        taken_ = now;
        return true;
    }

    /// Takes all that may be admitted now, also a part of an operation, for a
    /// deputy that grants it to any VM.
    /// @param heard when the coordinator was last heard from
    /// @return millionths of an operation
    std::uint64_t hand_over(moment now, moment heard)
    {
        if (!fill(now, heard))
        {
            return 0;
        }
        // A coordinator that is only late grants the rate of this time itself.
        const bool may_be_late = now < heard + late_coordinator_time;
        const double part = may_be_late ? std::min(left_, of_start_) : left_;
        const auto handed =
            static_cast<std::uint64_t>(part * static_cast<double>(token_unit));
        left_ -= part;
        of_start_ = 0;
        taken_ = handed == 0 ? taken_ : now + handed_lifetime;
        return handed;
    }

    /// Sets the length of the limit's window.
    void use_window(std::chrono::seconds window) { window_ = window; }

private:
    /// Adds what the time that has passed allows.
    /// @return false if what the coordinator told is too old
    bool fill(moment now, moment heard)
    {
        if (heard >= told_ + standalone_lifetime)
        {
            return false;
        }
        if (filled_ < heard)
        {
            // Those of the start are allowed once in a window of the limit.
            left_ = now >= taken_ + window_
                        ? at_once_
                        : std::min({left_, of_start_, at_once_});
            of_start_ = left_;
            filled_ = heard;
        }
        const std::chrono::duration<double> passed = now - filled_;
        left_ =
            std::min(std::max(1.0, at_once_), left_ + per_s_ * passed.count());
        filled_ = now;
        return true;
    }

    std::chrono::seconds window_{5};
    double per_s_ = 0;
    double at_once_ = 0;
    double left_ = 0;
    double of_start_ = 0; ///< part of `left_` that is not of the rate
    moment told_{};       ///< when the coordinator told it
    moment filled_{};     ///< when `left_` was updated
    moment taken_{};      ///< when operations were last used, or may be
};

} // namespace tanagerhoist

#endif
