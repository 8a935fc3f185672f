#ifndef TANAGERHOIST_FLEET_STORE_CLOCK_HPP
#define TANAGERHOIST_FLEET_STORE_CLOCK_HPP

#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/fleet/row_store.hpp"

#include <chrono>
#include <cstdint>

namespace tanagerhoist
{

/// One moment on two clocks. What is written with `store` lasts, for all
/// others, at least as long as it lasts from `own` on for the writer, however
/// late the write is sent.
struct store_date
{
    milliseconds store{0}; ///< on the store's clock, or shortly after
    moment own{};          ///< on this VM's clock
};

/// The store's clock as this VM knows it from the answers to its calls.
class store_clock
{
public:
    /// Takes over the clock of an answer; one without a time is ignored.
    void note(const store_answer& answer)
    {
        if (answer.now != milliseconds(0))
        {
            told_ = answer.now;
            asked_at_ = answer.sent;
        }
    }

    /// The store's clock in the newest answer, a lower bound of its present
    /// time.
    milliseconds told() const { return told_; }

    /// The present moment.
    store_date date(moment now) const
    {
        return {told_ + std::chrono::ceil<milliseconds>(now - asked_at_), now};
    }

private:
    milliseconds told_{0};
    moment asked_at_{}; ///< when the answered call was sent
};

} // namespace tanagerhoist

#endif
