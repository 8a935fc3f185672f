#ifndef TANAGERHOIST_TOOLS_DAEMON_STATE_LOG_HPP
#define TANAGERHOIST_TOOLS_DAEMON_STATE_LOG_HPP

#include "tanagerhoist/adapter/metrics.hpp"
#include "tanagerhoist/adapter/record_sink.hpp"

namespace tanagerhoist
{

/// Passes everything on to another sink and writes a log line, counters first,
/// for each event that is a change of state and not of one request.
class state_log : public record_sink
{
public:
    state_log(record_sink& next, const metrics& counters);

    void decided(const proto::Input& input,
                 const std::vector<proto::Action>& actions) override;
    void noted(std::vector<proto::Event> events) override;

private:
    record_sink& next_;
    const metrics& metrics_;
};

} // namespace tanagerhoist

#endif
