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

/// Returns the options of the node whose record begins with `start`. The daemon
/// also creates its own node from them, so a record contains every option.
node_options options_of(const proto::RecordStart& start);

/// Why and where a replay stopped.
struct replay_failure
{
    enum class reason
    {
        gap,       ///< the input at `index` is not in the record
        difference ///< the actions at `index` differ from the recorded ones
    };

    reason why = reason::gap;
    std::uint64_t index = 0;
    proto::RecordEntry expected;        ///< set for `difference`
    std::vector<proto::Action> actions; ///< actions that the replay produced
    std::uint64_t actions_digest = 0;
};

/// Applies the inputs of a recorded run to a new node and compares the actions
/// with the recorded ones.
class replay
{
public:
    explicit replay(const proto::RecordStart& start);

    /// Applies the next batch of inputs.
    /// @return the reason why the replay ended, or empty if all actions match;
    ///   after a failure no further batch may be fed
    std::optional<replay_failure> feed(const proto::RecordBatch& batch);

    /// Number of inputs so far that led to the recorded actions.
    std::uint64_t matching_inputs() const { return next_; }

private:
    std::unique_ptr<node> node_;
    std::uint64_t next_ = 0;
};

} // namespace tanagerhoist

#endif
