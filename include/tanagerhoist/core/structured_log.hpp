#ifndef TANAGERHOIST_CORE_STRUCTURED_LOG_HPP
#define TANAGERHOIST_CORE_STRUCTURED_LOG_HPP

#include <initializer_list>
#include <string>
#include <string_view>

namespace tanagerhoist
{

/// How much a line matters when not all can be kept.
enum class log_level
{
    served,  ///< a request that went as it should
    refused, ///< a request that was refused, failed or is unknown
    change   ///< this VM believes something else now, or starts or stops
};

/// One named value of a line.
struct log_field
{
    std::string_view name;
    std::string value;
};

/// Structured lines about decisions. Writing never blocks; lines beyond the
/// budget are counted and dropped, served requests first.
class structured_log
{
public:
    virtual ~structured_log() = default;

    /// Whether a line of this level would be kept now.
    virtual bool should_log(log_level level) = 0;

    virtual void write(log_level level, std::string_view event,
                       std::initializer_list<log_field> fields) = 0;
};

} // namespace tanagerhoist

#endif
