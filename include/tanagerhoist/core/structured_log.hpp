#ifndef TANAGERHOIST_CORE_STRUCTURED_LOG_HPP
#define TANAGERHOIST_CORE_STRUCTURED_LOG_HPP

#include <initializer_list>
#include <string>
#include <string_view>

namespace tanagerhoist
{

/// Priority of a log line when the rate limit forces lines to be dropped.
enum class log_level
{
    served,  ///< a request that succeeded
    refused, ///< a request that was refused, failed or has an unknown outcome
    change   ///< a change of this VM's state, or its start or stop
};

/// One named value of a log line.
struct log_field
{
    std::string_view name;
    std::string value;
};

/// Structured log of decisions. Writing never blocks; lines above the rate
/// limit are dropped and counted, those of served requests first.
class structured_log
{
public:
    virtual ~structured_log() = default;

    /// Whether a line of this level would be written now. A line that would not
    /// be is counted as dropped.
    virtual bool should_log(log_level level) = 0;

    /// Writes one line unless its level is above the rate limit.
    virtual void write(log_level level, std::string_view event,
                       std::initializer_list<log_field> fields) = 0;
};

} // namespace tanagerhoist

#endif
