#ifndef TANAGERHOIST_ADAPTER_RECORD_SINK_HPP
#define TANAGERHOIST_ADAPTER_RECORD_SINK_HPP

#include "messages.pb.h"

#include <vector>

namespace tanagerhoist
{

/// Receives the inputs, actions and events of the decision layer. Called on the
/// decision thread only; implementations must not block.
class record_sink
{
public:
    record_sink() = default;
    record_sink(const record_sink&) = delete;
    record_sink& operator=(const record_sink&) = delete;
    virtual ~record_sink() = default;

    /// Records one input and the actions that resulted from it.
    virtual void record_input(const proto::Input& input,
                              const std::vector<proto::Action>& actions) = 0;

    /// Records events, which are timestamped and in order.
    virtual void record_events(std::vector<proto::Event> events) = 0;
};

} // namespace tanagerhoist

#endif
