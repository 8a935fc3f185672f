#ifndef TANAGERHOIST_DECISION_INCARNATION_ALLOCATOR_HPP
#define TANAGERHOIST_DECISION_INCARNATION_ALLOCATOR_HPP

#include "messages.pb.h"
#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/decision/outbox.hpp"

#include <cstdint>

namespace tanagerhoist
{

/// Obtains the number of this incarnation, unique over all lives of all VMs,
/// by compare-and-set on the table row `incarnations`.
///
/// A reply that is lost leaves in doubt whether the write took effect, so the
/// number tried is never used and the next attempt takes a later one.
class incarnation_allocator
{
public:
    void on_tick(moment now, outbox& out);

    /// The number allotted; 0 until then.
    std::uint64_t number() const { return number_; }

    /// Gives the number up and obtains a later one.
    void renew() { number_ = 0; }

private:
    void read(outbox& out);
    void write(std::uint64_t version, std::uint64_t next, outbox& out);

    std::uint64_t number_ = 0;
    std::uint64_t row_version_ = 0; ///< of the row read last
    std::uint64_t row_next_ = 0;
    bool have_row_ = false;
    bool waiting_ = false;
};

} // namespace tanagerhoist

#endif
