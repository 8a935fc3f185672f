#ifndef TANAGERHOIST_ADAPTER_RECORD_SINK_HPP
#define TANAGERHOIST_ADAPTER_RECORD_SINK_HPP

#include "messages.pb.h"

#include <vector>

namespace tanagerhoist
{

/// Takes what the decision layer consumed and produced. Called on the decision
/// thread only; it must not wait.
class record_sink
{
public:
    record_sink() = default;
    record_sink(const record_sink&) = delete;
    record_sink& operator=(const record_sink&) = delete;
    virtual ~record_sink() = default;

    /// Takes one input and the actions that it led to.
    virtual void record_input(const proto::Input& input,
                              const std::vector<proto::Action>& actions) = 0;

    /// Takes events, stamped and in order.
    virtual void record_events(std::vector<proto::Event> events) = 0;
};

} // namespace tanagerhoist

#endif
