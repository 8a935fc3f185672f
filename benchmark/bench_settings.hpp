#ifndef TANAGERHOIST_BENCHMARK_BENCH_SETTINGS_HPP
#define TANAGERHOIST_BENCHMARK_BENCH_SETTINGS_HPP

#include "settings.pb.h"

#include <cstddef>

namespace tanagerhoist
{

/// Size of generated settings.
struct settings_size
{
    std::size_t databases = 3;
    std::size_t workspaces = 8;
};

/// Generates settings of the given size. Each database has three servers, a
/// read and a write route; each workspace has one key.
proto::Settings generate_settings(const settings_size& size);

} // namespace tanagerhoist

#endif
