#ifndef TANAGERHOIST_BENCHMARK_BENCH_SETTINGS_HPP
#define TANAGERHOIST_BENCHMARK_BENCH_SETTINGS_HPP

#include "settings.pb.h"

#include <cstddef>

namespace tanagerhoist
{

/// Size of a generated set of settings.
struct settings_size
{
    std::size_t databases = 3;
    std::size_t workspaces = 8;
};

/// Generates settings of `size`: three servers to a database, a read and a
/// write route to each database, one workspace key to each workspace.
proto::Settings generate_settings(const settings_size& size);

} // namespace tanagerhoist

#endif
