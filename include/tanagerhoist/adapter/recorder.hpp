#ifndef TANAGERHOIST_ADAPTER_RECORDER_HPP
#define TANAGERHOIST_ADAPTER_RECORDER_HPP

#include "tanagerhoist/adapter/metrics.hpp"
#include "tanagerhoist/adapter/record_sink.hpp"
#include "tanagerhoist/record/event_buffer.hpp"
#include "tanagerhoist/record/input_buffer.hpp"
#include "tanagerhoist/settings/platform_client.hpp"

#include <mutex>
#include <string>

namespace tanagerhoist
{

/// Bounds of a recorder.
struct recorder_options
{
    std::size_t event_bytes = std::size_t{2} * 1024 * 1024;
    std::size_t input_bytes = std::size_t{4} * 1024 * 1024;
    std::size_t batch_bytes = std::size_t{256} * 1024;
    bool inputs = true; ///< false: events only
};

/// Keeps events and inputs in bounded memory and writes them in batches to the
/// object store. A batch that could not be written is written again under its
/// name, so the numbers of a run's batches have no gaps.
///
/// Inputs hold callers' statements, never their keys.
class recorder : public record_sink
{
public:
    /// @param store used by `flush` only
    recorder(recorder_options options, proto::RecordStart start,
             platform_client& store, metrics& counters);

    void record_input(const proto::Input& input,
                      const std::vector<proto::Action>& actions) override;
    void record_events(std::vector<proto::Event> events) override;

    /// Writes batches until nothing waits or a write fails. On one thread at a
    /// time, other than the decision thread; waits for the store.
    /// @return whether nothing waits any more
    bool flush();

private:
    bool add_to_index();
    bool flush_events();
    bool flush_inputs();
    bool write(const std::string& name, std::string value);

    recorder_options options_;
    proto::RecordStart start_;
    platform_client& store_;
    metrics& metrics_;

    std::mutex mutex_; ///< guards the buffers
    event_buffer events_;
    input_buffer inputs_;

    bool indexed_ = false; ///< from here on: of the flushing thread
    std::uint64_t event_batches_ = 0;
    std::uint64_t input_batches_ = 0;
    std::string unsent_events_;
    std::string unsent_inputs_;
};

} // namespace tanagerhoist

#endif
