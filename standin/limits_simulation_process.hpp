#ifndef TANAGERHOIST_STANDIN_LIMITS_SIMULATION_PROCESS_HPP
#define TANAGERHOIST_STANDIN_LIMITS_SIMULATION_PROCESS_HPP

#include "standin/limits_simulation.hpp"

#include <utility>

namespace tanagerhoist::standin
{

/// The modules for limits of one daemon process, from its start to its end.
struct limits_simulation::process
{
    process(std::uint64_t number, std::string vm, std::string data_centre,
            std::unique_ptr<slice_policy> policy,
            const limiter_options& options, moment started)
        : id(number),
          self{std::move(vm), std::move(data_centre), 0},
          members(self, {}),
          limits(self, members, options, std::move(policy)),
          start(started)
    {
    }

    std::uint64_t id;
    identity self;
    incarnation_allocator incarnations;
    membership members;
    limiter limits;
    outbox out;
    moment start;
    bool frozen = false;
    bool renewed = false;
    const settings_view* settings = nullptr;
    std::vector<std::function<void()>> backlog;
    std::vector<waiting_request> waiting;
};

} // namespace tanagerhoist::standin

#endif
