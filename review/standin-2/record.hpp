#ifndef TANAGERHOIST_REVIEW_RECORD_HPP
#define TANAGERHOIST_REVIEW_RECORD_HPP

#include <chrono>
#include <fstream>
#include <string>
#include <string_view>

namespace tanagerhoist::review
{

using std::chrono::milliseconds;
using moment = std::chrono::steady_clock::time_point;

inline moment now()
{
    return std::chrono::steady_clock::now();
}

/// What was sent, answered and run, one event a line, with the time since the
/// start of the case in milliseconds.
class record
{
public:
    explicit record(const std::string& path) : out_(path), begun_(now()) {}

    void write(std::string_view who, std::string_view what)
    {
        out_ << since(now()) << ' ' << who << ' ' << what << '\n';
    }

    /// Milliseconds from the start of the case.
    long since(moment at) const
    {
        return static_cast<long>(
            std::chrono::duration_cast<milliseconds>(at - begun_).count());
    }

    void flush() { out_.flush(); }

private:
    std::ofstream out_;
    moment begun_;
};

} // namespace tanagerhoist::review

#endif
