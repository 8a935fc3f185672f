#include "tanagerhoist/record/replay.hpp"

#include "tanagerhoist/record/action_digest.hpp"

#include <utility>

namespace tanagerhoist
{

node_options options_of(const proto::RecordStart& start)
{
    node_options options;
    options.vm = start.vm();
    options.data_centre = start.data_centre();
    return options;
}

replay::replay(const proto::RecordStart& start)
    : node_(std::make_unique<node>(options_of(start)))
{
}

std::optional<replay_failure> replay::feed(const proto::RecordBatch& batch)
{
    if (batch.first_index() != next_)
    {
        replay_failure failure;
        failure.index = next_;
        return failure;
    }
    for (const auto& entry : batch.entry())
    {
        auto actions = node_->apply(entry.input());
        const auto digest = digest_of(actions);
        node_->take_events();
        if (digest != entry.actions_digest() ||
            actions.size() != entry.action_count())
        {
            return replay_failure{replay_failure::reason::difference, next_,
                                  entry, std::move(actions), digest};
        }
        ++next_;
    }
    return std::nullopt;
}

} // namespace tanagerhoist
