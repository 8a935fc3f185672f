#ifndef TANAGERHOIST_TOOLS_DAEMON_STATE_LOG_HPP
#define TANAGERHOIST_TOOLS_DAEMON_STATE_LOG_HPP

#include "tanagerhoist/adapter/metrics.hpp"
#include "tanagerhoist/adapter/record_sink.hpp"

namespace tanagerhoist
{

/// Forwards everything to another sink and logs each event that does not belong
/// to a single request. Log lines begin with the counters.
class state_log : public record_sink
{
public:
    state_log(record_sink& next, const metrics& counters);

    void record_input(const proto::Input& input,
                      const std::vector<proto::Action>& actions) override;
    void record_events(std::vector<proto::Event> events) override;

private:
    record_sink& next_;
    const metrics& metrics_;
};

} // namespace tanagerhoist

#endif
