#ifndef TANAGERHOIST_ADAPTER_JSON_LOG_HPP
#define TANAGERHOIST_ADAPTER_JSON_LOG_HPP

#include "tanagerhoist/core/structured_log.hpp"
#include "tanagerhoist/core/time.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

namespace spdlog
{
class logger;
}

namespace tanagerhoist
{

/// Lines dropped since the last one that was written.
struct log_drops
{
    std::uint64_t lines = 0;
    std::uint64_t changes = 0; ///< those of them that tell of changes
};

/// One log line as JSON, whatever bytes the fields have.
std::string json_line(std::string_view vm, moment now, std::string_view event,
                      std::initializer_list<log_field> fields,
                      const log_drops& drops);

/// Writes log lines as JSON to standard output through a bounded queue that
/// drops its oldest lines instead of blocking. Each level has its own limit of
/// lines per second, so that a flood on one level does not suppress the others.
class json_log : public structured_log
{
public:
    using clock = std::function<moment()>;

    /// @param lines_per_s limit of each level; four times that for
    ///                    `log_level::change`
    json_log(std::string vm, std::uint64_t lines_per_s, clock now);
    ~json_log() override;

    bool should_log(log_level level) override;
    void write(log_level level, std::string_view event,
               std::initializer_list<log_field> fields) override;

    /// Writes out the queue. Nothing may be written afterwards.
    void close();

    /// Number of lines dropped by the rate limit or by the queue.
    std::uint64_t dropped() const;

private:
    static constexpr std::size_t level_count = 3;

    std::uint64_t dropped_by_queue() const;

    std::string vm_;
    std::uint64_t budget_;
    clock now_;
    /// spdlog creates loggers as shared_ptr.
    std::shared_ptr<spdlog::logger> logger_;
    std::array<std::uint64_t, level_count> lines_in_window_{};
    moment window_start_{};
    std::uint64_t dropped_ = 0;         ///< by the rate limit
    std::uint64_t dropped_changes_ = 0; ///< those of them that tell of changes
    std::uint64_t reported_dropped_ = 0;
    std::uint64_t reported_dropped_changes_ = 0;
};

} // namespace tanagerhoist

#endif
