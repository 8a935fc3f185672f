#include "coordinator_simulation.hpp"

#include "coordinator_simulation_vm.hpp"

#include <algorithm>
#include <ostream>

namespace tanagerhoist::fuzz
{
namespace
{

constexpr milliseconds start_time{1500};
constexpr milliseconds recovery_time{3000};
constexpr milliseconds longest_recovery{40000};

} // namespace

coordinator_simulation::coordinator_simulation(std::uint64_t seed,
                                               model_options options)
    : options_(options), random_(seed * 0x9e3779b97f4a7c15U + 1)
{
    for (std::size_t i = 0; i < vm_count; ++i)
    {
        start_vm(i);
    }
    run_for(start_time);
    if (!options_.restores_to_empty_store)
    {
        copy_store();
    }
}

coordinator_simulation::~coordinator_simulation() = default;

void coordinator_simulation::start_vm(std::size_t vm)
{
    vms_.at(vm) = std::make_unique<simulated_vm>(*this, vm);
}

microseconds coordinator_simulation::short_delay()
{
    constexpr std::uint64_t spread = 2500;
    random_ ^= random_ << 13U;
    random_ ^= random_ >> 7U;
    random_ ^= random_ << 17U;
    return microseconds(300 + random_ % spread);
}

milliseconds coordinator_simulation::store_clock() const
{
    return milliseconds(to_ms(now().time_since_epoch()));
}

void coordinator_simulation::trace(const std::string& line)
{
    if (options_.trace != nullptr)
    {
        constexpr std::uint64_t first_ms = 3600000;
        *options_.trace << to_ms(now().time_since_epoch()) - first_ms << ' '
                        << line << '\n';
    }
}

void coordinator_simulation::check_holders()
{
    const auto holders = std::count_if(
        vms_.begin(), vms_.end(),
        [](const auto& vm) { return vm && vm->holds_coordinator_lease(); });
    rules_.expect(holders <= 1, "two VMs hold the coordinator lease at once");
}

void coordinator_simulation::step(moment until)
{
    while (events_.run_one(until) && rules_.broken().empty())
    {
        check_holders();
    }
}

void coordinator_simulation::run_for(milliseconds time)
{
    step(now() + time);
}

bool coordinator_simulation::is_operating() const
{
    return std::any_of(vms_.begin(), vms_.end(),
                       [](const auto& vm)
                       { return vm && vm->is_operating_as_holder(); });
}

void coordinator_simulation::run_until_operation(milliseconds most)
{
    const auto until = now() + most;
    while (!is_operating() && rules_.broken().empty() && events_.run_one(until))
    {
        check_holders();
    }
}

void coordinator_simulation::plan(std::size_t vm, call_target target,
                                  call_plan plan)
{
    plans_.at(vm).at(static_cast<std::size_t>(target)).push_back(plan);
}

call_plan coordinator_simulation::take_plan(std::size_t vm, call_target target)
{
    auto& planned = plans_.at(vm).at(static_cast<std::size_t>(target));
    if (planned.empty())
    {
        return {};
    }
    const auto first = planned.front();
    planned.erase(planned.begin());
    trace(simulated_vm::name(vm) + " call " +
          std::to_string(static_cast<int>(target)) + " meets fate " +
          std::to_string(static_cast<int>(first.fate)) + " for " +
          std::to_string(first.delay.count()) + " ms");
    return first;
}

std::size_t coordinator_simulation::holder() const
{
    for (std::size_t i = 0; i < vm_count; ++i)
    {
        if (vms_.at(i) && vms_.at(i)->holds_coordinator_lease())
        {
            return i;
        }
    }
    return 0;
}

/// The platform promotes without looking at the token; what it is told is
/// checked here.
promotion_result
coordinator_simulation::order_arrives(const promotion_request& request)
{
    trace("platform gets order for " + request.server + " from " +
          request.holder + " token " + std::to_string(request.token));
    const auto before =
        holder_by_token_.emplace(request.token, request.holder).first;
    rules_.expect(before->second == request.holder,
                  "two holders have sent one token");
    rules_.expect(request.token >= newest_token_,
                  "the token of an order went down");
    newest_token_ = std::max(newest_token_, request.token);
    check_alternation(request.holder);
    const auto server = simulated_group::index_of(request.server);
    if (promotion_runs_ || !group_.at(server).up)
    {
        return promotion_result::not_eligible;
    }
    promotion_runs_ = true;
    constexpr milliseconds shortest{100};
    constexpr int longest_factor = 150;
    events_.add(shortest + short_delay() * longest_factor,
                [this, server] { promote(server); });
    return promotion_result::accepted;
}

/// Orders of two holders don't alternate within the duration of a lease, and
/// are a margin apart, unless a VM was stopped and has released its lease.
void coordinator_simulation::check_alternation(const std::string& holder)
{
    const auto& former = last_order_;
    const bool follows = !former.holder.empty() && former.holder != holder;
    const bool released = stopped_at_ >= former.at;
    rules_.expect(!follows || released ||
                      now() >= former.at + coordinator_lease_margin,
                  "two holders ordered within the margin of a lease");
    const auto own = orders_.find(holder);
    const bool returns = follows && own != orders_.end();
    rules_.expect(!returns || stopped_at_ >= own->second ||
                      now() >= own->second + coordinator_lease_duration,
                  "two holders alternated within a lease");
    orders_[holder] = now();
    last_order_ = {holder, now()};
}

void coordinator_simulation::promote(std::size_t server)
{
    promotion_runs_ = false;
    const auto term = group_.newest_term();
    group_.promote(server);
    if (group_.newest_term() == term)
    {
        return;
    }
    ++promotions_;
    trace(simulated_group::name(server) + " leads term " +
          std::to_string(group_.newest_term()));
    for (std::size_t i = 0; i < server_count; ++i)
    {
        events_.add(self_demotion_time, [this, i] { group_.step_down(i); });
    }
}

void coordinator_simulation::send(std::size_t from, const std::string& to,
                                  std::function<void(simulated_vm&)> deliver)
{
    for (std::size_t i = 0; i < vm_count; ++i)
    {
        if (i == from || simulated_vm::name(i) != to || !vms_.at(i) ||
            is_cut_off(i) || is_cut_off(from))
        {
            continue;
        }
        events_.add(
            short_delay(),
            [this, i,
             process = std::weak_ptr<fiber_process>(vms_.at(i)->process()),
             deliver = std::move(deliver)]
            {
                const auto running = process.lock();
                if (running)
                {
                    running->post([this, i, deliver] { deliver(*vms_.at(i)); });
                }
            });
        return;
    }
}

void coordinator_simulation::write_acknowledged(const std::string& write,
                                                std::size_t vm,
                                                std::size_t server,
                                                bool replaced)
{
    if (replaced)
    {
        trace(simulated_vm::name(vm) + " acknowledges " + write + " at " +
              simulated_group::name(server));
    }
    rules_.expect(!replaced,
                  "a write was acknowledged at a primary that was replaced");
    acknowledged_.insert(write);
}

void coordinator_simulation::finish()
{
    trace("faults end");
    for (auto& vm : plans_)
    {
        for (auto& planned : vm)
        {
            planned.clear();
        }
    }
    store_silent_until_ = moment{};
    turned_away_until_ = {};
    run_for(recovery_time);
    const auto until = now() + longest_recovery;
    while (now() < until && rules_.broken().empty() &&
           (!group_.leader() || promotion_runs_ || is_operating() ||
            is_anyone_cut_off()))
    {
        run_for(recovery_time);
    }
    const auto leader = group_.leader();
    ended_without_primary_ = !leader;
    std::set<std::string> kept;
    for (std::size_t i = 0; i < server_count; ++i)
    {
        if (leader && *leader != i)
        {
            continue; // without a primary, any server may have the write
        }
        for (const auto& entry : group_.at(i).log)
        {
            kept.insert(entry.second);
        }
    }
    for (const auto& write : acknowledged_)
    {
        rules_.expect(kept.count(write) != 0,
                      "an acknowledged write is missing at the end");
    }
}

} // namespace tanagerhoist::fuzz
