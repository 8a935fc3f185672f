#ifndef TANAGERHOIST_RECORD_OBJECT_NAMES_HPP
#define TANAGERHOIST_RECORD_OBJECT_NAMES_HPP

#include <cstdint>
#include <string>

namespace tanagerhoist
{

/// Name of the object that lists the runs of `vm`.
std::string index_name(const std::string& vm);

/// Name of batch `number` of events of the run that began at `start_wall_us`.
/// Numbers rise from 0 without gaps.
std::string event_batch_name(const std::string& vm, std::uint64_t start_wall_us,
                             std::uint64_t number);

/// The same for inputs.
std::string record_batch_name(const std::string& vm,
                              std::uint64_t start_wall_us,
                              std::uint64_t number);

} // namespace tanagerhoist

#endif
