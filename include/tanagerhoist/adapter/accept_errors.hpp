#ifndef TANAGERHOIST_ADAPTER_ACCEPT_ERRORS_HPP
#define TANAGERHOIST_ADAPTER_ACCEPT_ERRORS_HPP

#include <boost/system/error_code.hpp>

#include <cstdint>
#include <string>

namespace tanagerhoist
{

/// Connections that a port could not accept, for example because no descriptor
/// was free.
class accept_errors
{
public:
    void add(const boost::system::error_code& error)
    {
        ++count_;
        last_ = error;
    }

    std::uint64_t count() const { return count_; }

    /// Text of the last error.
    std::string last() const { return last_.message(); }

private:
    std::uint64_t count_ = 0;
    boost::system::error_code last_;
};

} // namespace tanagerhoist

#endif
