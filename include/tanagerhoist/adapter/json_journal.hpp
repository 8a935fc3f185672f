#ifndef TANAGERHOIST_ADAPTER_JSON_JOURNAL_HPP
#define TANAGERHOIST_ADAPTER_JSON_JOURNAL_HPP

#include "tanagerhoist/core/journal.hpp"
#include "tanagerhoist/core/time.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace spdlog
{
class logger;
}

namespace tanagerhoist
{

/// Writes lines as JSON to the standard output, through a bounded queue that
/// drops its oldest lines instead of waiting. Each level has a budget of lines
/// a second, so that a flood of one does not hide the others.
class json_journal : public journal
{
public:
    using clock = std::function<moment()>;

    /// @param lines_per_s budget of each level; changes have four times that
    json_journal(std::string vm, std::uint64_t lines_per_s, clock now);
    ~json_journal() override;

    bool wants(journal_level level) override;
    void write(journal_level level, std::string_view event,
               std::initializer_list<journal_field> fields) override;

    std::uint64_t dropped() const { return dropped_; }

private:
    static constexpr std::size_t levels = 3;

    std::string vm_;
    std::uint64_t budget_;
    clock now_;
    std::shared_ptr<spdlog::logger> logger_; ///< shared as spdlog makes it
    std::array<std::uint64_t, levels> written_{};
    moment second_{};
    std::uint64_t dropped_ = 0;
    std::uint64_t told_dropped_ = 0;
};

} // namespace tanagerhoist

#endif
