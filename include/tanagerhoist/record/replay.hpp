#ifndef TANAGERHOIST_RECORD_REPLAY_HPP
#define TANAGERHOIST_RECORD_REPLAY_HPP

#include "messages.pb.h"
#include "tanagerhoist/decision/node.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace tanagerhoist
{

/// Options of the node whose record begins with `start`. The daemon builds its
/// own node from them too, so a record lacks none.
node_options options_of(const proto::RecordStart& start);

/// Why a replay can't go on.
struct replay_failure
{
    enum class reason
    {
        gap,       ///< the input at `index` is not in the record
        difference ///< the actions at `index` are not the recorded ones
    };

    reason why = reason::gap;
    std::uint64_t index = 0;
    proto::RecordEntry expected;        ///< for a difference
    std::vector<proto::Action> actions; ///< what the input led to now
    std::uint64_t actions_digest = 0;
};

/// Feeds a recorded run to a new node and compares the actions.
class replay
{
public:
    explicit replay(const proto::RecordStart& start);

    /// Feeds the next batch.
    /// @return what ended the replay, empty while all is matching_inputs; after
    /// a stop
    ///   nothing more may be fed
    std::optional<replay_failure> feed(const proto::RecordBatch& batch);

    /// Number of inputs that gave the recorded actions.
    std::uint64_t matching_inputs() const { return next_; }

private:
    std::unique_ptr<node> node_;
    std::uint64_t next_ = 0;
};

} // namespace tanagerhoist

#endif
