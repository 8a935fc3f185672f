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

/// Memory limits of a recorder, in bytes.
struct recorder_options
{
    std::size_t event_bytes = std::size_t{2} * 1024 * 1024;
    std::size_t input_bytes = std::size_t{4} * 1024 * 1024;
    std::size_t batch_bytes = std::size_t{256} * 1024;
    bool inputs = true; ///< false: record events only
};

/// Buffers events and inputs in bounded memory and writes them to the object
/// store in batches. A failed write is retried under the same object name, so
/// the batch numbers of a run have no gaps.
///
/// Inputs contain callers' statements, but never their keys.
class recorder : public record_sink
{
public:
    /// @param store object store, used by `flush` only
    recorder(recorder_options options, proto::RecordStart start,
             platform_client& store, metrics& counters);

    void record_input(const proto::Input& input,
                      const std::vector<proto::Action>& actions) override;
    void record_events(std::vector<proto::Event> events) override;

    /// Writes batches until the buffers are empty or a write fails. Blocks on
    /// the store, so it must not run on the decision thread; only one thread at
    /// a time may call it.
    /// @return whether everything was written
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

    bool indexed_ = false; ///< this and the following: flushing thread only
    std::uint64_t event_batches_ = 0;
    std::uint64_t input_batches_ = 0;
    std::string unsent_events_;
    std::string unsent_inputs_;
};

} // namespace tanagerhoist

#endif
