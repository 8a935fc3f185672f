#ifndef TANAGERHOIST_REVIEW_STANDIN_RECORD_HPP
#define TANAGERHOIST_REVIEW_STANDIN_RECORD_HPP

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace tanagerhoist::review
{

/// File that lists what was sent, answered and run, with the milliseconds since
/// the start. May be used by several threads.
class record
{
public:
    explicit record(const std::string& file) : out_(file) {}

    void write(const std::string& line)
    {
        const std::lock_guard lock(mutex_);
        out_ << since_start().count() << " ms  " << line << std::endl;
    }

    std::chrono::milliseconds since_start() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now() - start_);
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
    std::chrono::steady_clock::time_point start_ =
        std::chrono::steady_clock::now();
};

} // namespace tanagerhoist::review

#endif
