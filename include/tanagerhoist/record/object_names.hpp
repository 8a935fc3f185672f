#ifndef TANAGERHOIST_RECORD_OBJECT_NAMES_HPP
#define TANAGERHOIST_RECORD_OBJECT_NAMES_HPP

#include <cstdint>
#include <string>

namespace tanagerhoist
{

/// Returns the name of the object that lists the runs of `vm`.
std::string index_name(const std::string& vm);

/// Returns the name of a batch of events.
/// @param start_wall_us start of the run, wall time in microseconds
/// @param number batch number within the run, counted from 0 without gaps
std::string event_batch_name(const std::string& vm, std::uint64_t start_wall_us,
                             std::uint64_t number);

/// Returns the name of a batch of inputs; parameters as above.
std::string record_batch_name(const std::string& vm,
                              std::uint64_t start_wall_us,
                              std::uint64_t number);

} // namespace tanagerhoist

#endif
