#include "tanagerhoist/record/object_names.hpp"

#include <algorithm>

namespace tanagerhoist
{
namespace
{

/// Digits to which batch numbers are zero-padded.
constexpr std::size_t number_width = 8;

std::string batch_name(const char* prefix, const std::string& vm,
                       std::uint64_t start_wall_us, std::uint64_t number)
{
    const std::string digits = std::to_string(number);
    const std::size_t zeros =
        number_width - std::min(number_width, digits.size());
    return std::string(prefix) + "/" + vm + "/" +
           std::to_string(start_wall_us) + "/" + std::string(zeros, '0') +
           digits;
}

} // namespace

std::string index_name(const std::string& vm)
{
    return "events/" + vm + "/index";
}

std::string event_batch_name(const std::string& vm, std::uint64_t start_wall_us,
                             std::uint64_t number)
{
    return batch_name("events", vm, start_wall_us, number);
}

std::string record_batch_name(const std::string& vm,
                              std::uint64_t start_wall_us, std::uint64_t number)
{
    return batch_name("record", vm, start_wall_us, number);
}

} // namespace tanagerhoist
