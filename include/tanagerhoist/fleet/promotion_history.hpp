#ifndef TANAGERHOIST_FLEET_PROMOTION_HISTORY_HPP
#define TANAGERHOIST_FLEET_PROMOTION_HISTORY_HPP

#include "fleet.pb.h"
#include "tanagerhoist/session/log_position.hpp"

#include <cstdint>
#include <vector>

namespace tanagerhoist
{

/// The latest promotions of a group, as far as its lead's row tells them.
///
/// A promotion keeps the log up to its base. What a server has beyond it from
/// an earlier term has diverged: those commits were taken back, and clients
/// have read and written without them.
class promotion_history
{
public:
    static constexpr int most = 8; ///< promotions that a row keeps

    explicit promotion_history(const proto::GroupLead& lead);

    /// Whether a log that ends at `end` holds commits that a known promotion
    /// has cut off. Of a promotion that is not known, or whose base is not, it
    /// is assumed that it has cut off none.
    bool has_diverged(const log_position& end) const;

    /// Adds the promotion that begins `term` to a lead's row. A term that is
    /// there keeps its base; a base within the term is that of no promotion.
    static void add(proto::GroupLead& lead, std::uint64_t term,
                    const log_position& base);

private:
    struct promotion
    {
        std::uint64_t term = 0;
        log_position base;
    };

    std::vector<promotion> known_; ///< that led to the primary's log
};

} // namespace tanagerhoist

#endif
