#ifndef TANAGERHOIST_CORE_JOURNAL_HPP
#define TANAGERHOIST_CORE_JOURNAL_HPP

#include <initializer_list>
#include <string>
#include <string_view>

namespace tanagerhoist
{

/// How much a line matters when not all can be kept.
enum class journal_level
{
    served,  ///< a request that went as it should
    refused, ///< a request that was refused, failed or is unknown
    change   ///< this VM believes something else now, or starts or stops
};

/// One named value of a line.
struct journal_field
{
    std::string_view name;
    std::string value;
};

/// Structured lines about decisions. Writing never blocks; lines beyond the
/// budget are counted and dropped, served requests first.
class journal
{
public:
    virtual ~journal() = default;

    /// Whether a line of this level would be kept now.
    virtual bool wants(journal_level level) = 0;

    virtual void write(journal_level level, std::string_view event,
                       std::initializer_list<journal_field> fields) = 0;
};

} // namespace tanagerhoist

#endif
