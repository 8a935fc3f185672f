#include "tanagerhoist/adapter/recorder.hpp"

#include "tanagerhoist/record/action_digest.hpp"
#include "tanagerhoist/record/object_names.hpp"

#include <utility>

namespace tanagerhoist
{
namespace
{

/// Number of latest runs kept in a VM's index.
constexpr int max_indexed_runs = 64;

} // namespace

recorder::recorder(recorder_options options, proto::RecordStart start,
                   platform_client& store, metrics& counters)
    : options_(options),
      start_(std::move(start)),
      store_(store),
      metrics_(counters),
      events_(options.event_bytes),
      inputs_(options.input_bytes)
{
}

void recorder::record_input(const proto::Input& input,
                            const std::vector<proto::Action>& actions)
{
    if (!options_.inputs)
    {
        return;
    }
    proto::RecordEntry entry;
    *entry.mutable_input() = input;
    entry.set_actions_digest(digest_of(actions));
    entry.set_action_count(static_cast<std::uint32_t>(actions.size()));
    const std::lock_guard lock(mutex_);
    metrics_.count_dropped_records(inputs_.push(entry));
}

void recorder::record_events(std::vector<proto::Event> events)
{
    const std::lock_guard lock(mutex_);
    for (const auto& event : events)
    {
        metrics_.count_dropped_records(events_.push(event));
    }
}

bool recorder::flush()
{
    return add_to_index() && flush_events() && flush_inputs();
}

/// Adds this run to the VM's index. No other process writes that object, so
/// reading and writing it back is safe.
bool recorder::add_to_index()
{
    if (indexed_)
    {
        return true;
    }
    proto::PlatformCall call;
    call.mutable_object_read()->set_name(index_name(start_.vm()));
    const auto answer = store_.call(call);
    proto::RecordIndex index;
    if (!answer.reply || !index.ParseFromString(answer.reply->value()))
    {
        return false;
    }
    auto& runs = *index.mutable_start_wall_us();
    if (runs.empty() || runs.Get(runs.size() - 1) != start_.wall_us())
    {
        runs.Add(start_.wall_us());
    }
    if (runs.size() > max_indexed_runs)
    {
        runs.erase(runs.begin(), runs.end() - max_indexed_runs);
    }
    indexed_ = write(index_name(start_.vm()), index.SerializeAsString());
    return indexed_;
}

bool recorder::flush_events()
{
    while (true)
    {
        if (unsent_events_.empty())
        {
            const std::lock_guard lock(mutex_);
            if (events_.empty())
            {
                return true;
            }
            unsent_events_ =
                events_.take(options_.batch_bytes).SerializeAsString();
        }
        if (!write(
                event_batch_name(start_.vm(), start_.wall_us(), event_batches_),
                unsent_events_))
        {
            return false;
        }
        unsent_events_.clear();
        ++event_batches_;
    }
}

bool recorder::flush_inputs()
{
    while (true)
    {
        if (unsent_inputs_.empty())
        {
            const std::lock_guard lock(mutex_);
            if (inputs_.empty())
            {
                return true;
            }
            auto batch = inputs_.take(options_.batch_bytes);
            *batch.mutable_start() = start_;
            unsent_inputs_ = batch.SerializeAsString();
        }
        if (!write(record_batch_name(start_.vm(), start_.wall_us(),
                                     input_batches_),
                   unsent_inputs_))
        {
            return false;
        }
        unsent_inputs_.clear();
        ++input_batches_;
    }
}

bool recorder::write(const std::string& name, std::string value)
{
    proto::PlatformCall call;
    call.mutable_object_write()->set_name(name);
    call.mutable_object_write()->set_value(std::move(value));
    const auto answer = store_.call(call);
    return answer.reply && answer.reply->outcome() == proto::PLATFORM_OK;
}

} // namespace tanagerhoist
