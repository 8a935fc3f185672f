#include "tanagerhoist/adapter/json_log.hpp"

#include "tanagerhoist/core/printable_text.hpp"

#include <boost/json.hpp>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <utility>

namespace tanagerhoist
{
namespace
{

constexpr std::size_t queue_lines = 1024;
constexpr std::uint64_t change_budget_factor = 4;

std::string wall_time()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace

std::string json_line(std::string_view vm, moment now, std::string_view event,
                      std::initializer_list<log_field> fields,
                      const log_drops& drops)
{
    boost::json::object line;
    line["t"] = wall_time();
    line["ms"] = to_ms(now.time_since_epoch());
    line["vm"] = printable(vm);
    line["event"] = event;
    for (const auto& field : fields)
    {
        line[field.name] = printable(field.value);
    }
    if (drops.lines != 0)
    {
        line["dropped"] = drops.lines;
        line["dropped_changes"] = drops.changes;
    }
    return boost::json::serialize(line);
}

json_log::json_log(std::string vm, std::uint64_t lines_per_s, clock now)
    : vm_(std::move(vm)), budget_(lines_per_s), now_(std::move(now))
{
    spdlog::init_thread_pool(queue_lines, 1);
    logger_ = spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>("journal");
    logger_->set_pattern("%v");
}

json_log::~json_log()
{
    close();
}

void json_log::close()
{
    logger_.reset();
    spdlog::shutdown(); // flushes the queue
}

/// Lines that the queue has dropped for newer ones, of any level.
std::uint64_t json_log::dropped_by_queue() const
{
    const auto pool = spdlog::thread_pool();
    return pool ? pool->overrun_counter() : 0;
}

std::uint64_t json_log::dropped() const
{
    return dropped_ + dropped_by_queue();
}

bool json_log::should_log(log_level level)
{
    const auto now = now_();
    if (now >= window_start_ + std::chrono::seconds(1))
    {
        window_start_ = now;
        lines_in_window_ = {};
    }
    const auto limit =
        level == log_level::change ? budget_ * change_budget_factor : budget_;
    if (lines_in_window_.at(static_cast<std::size_t>(level)) >= limit)
    {
        ++dropped_;
        dropped_changes_ += level == log_level::change ? 1 : 0;
        return false;
    }
    return true;
}

void json_log::write(log_level level, std::string_view event,
                     std::initializer_list<log_field> fields)
{
    if (!should_log(level))
    {
        return;
    }
    ++lines_in_window_.at(static_cast<std::size_t>(level));
    log_drops drops;
    if (const auto total = dropped(); total != reported_dropped_)
    {
        drops = {total - reported_dropped_,
                 dropped_changes_ - reported_dropped_changes_};
        reported_dropped_ = total;
        reported_dropped_changes_ = dropped_changes_;
    }
    logger_->info(json_line(vm_, now_(), event, fields, drops));
}

} // namespace tanagerhoist
