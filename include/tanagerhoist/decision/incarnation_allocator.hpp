#ifndef TANAGERHOIST_DECISION_INCARNATION_ALLOCATOR_HPP
#define TANAGERHOIST_DECISION_INCARNATION_ALLOCATOR_HPP

#include "messages.pb.h"
#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/decision/outbox.hpp"

#include <cstdint>

namespace tanagerhoist
{

/// Allocates the number of this incarnation by compare-and-set on the table
/// row `incarnations`. Numbers are unique over all incarnations of all VMs.
///
/// If the reply to a write is lost, its outcome is unknown. The number that it
/// tried to allocate is then never used, and the next attempt reads the row
/// again.
class incarnation_allocator
{
public:
    /// Reads or writes the row while no number is allocated.
    void on_tick(moment now, outbox& out);

    /// Allocated number; 0 if there is none yet.
    std::uint64_t number() const { return number_; }

    /// Discards the number; the next ticks allocate a greater one.
    void renew() { number_ = 0; }

private:
    void read(outbox& out);
    void write(std::uint64_t version, std::uint64_t next, outbox& out);

    std::uint64_t number_ = 0;
    std::uint64_t row_version_ = 0; ///< of the row as last read
    std::uint64_t row_next_ = 0;
    bool have_row_ = false;
    bool waiting_ = false;
};

} // namespace tanagerhoist

#endif
