#include "standin/limited_fleet.hpp"

#include "tanagerhoist/session/coordinator_times.hpp"
#include "tanagerhoist/session/proxy.hpp"

#include <algorithm>
#include <utility>

namespace tanagerhoist::standin
{
namespace
{

constexpr milliseconds longest_hold{300};

double allowed_in_window(const session_workspace& limits)
{
    const limit_tolerance tolerance;
    return (limits.rate * static_cast<double>(tolerance.window.count()) +
            limits.burst) *
               (1 + tolerance.overage) +
           tolerance.slack;
}

} // namespace

limited_fleet::limited_fleet(std::size_t vms, const session_workspace& limits,
                             unsigned seed)
    : random_(seed), counted_(limits)
{
    settings_.version = 1;
    settings_.workspaces["w"] = limits;
    for (std::size_t i = 0; i < vms; ++i)
    {
        auto& added = vms_.emplace_back();
        added.name = "vm" + std::to_string(i);
        added.limits.use_settings(now_, settings_);
        added.limits.use_members(now_, vms);
    }
    take_over();
}

void limited_fleet::take_over()
{
    proto::DutyRow former;
    former.set_token(token_);
    coordinator_.reset(now_, ++token_, former, vms_.size());
    has_coordinator_ = true;
}

void limited_fleet::cut_off(std::size_t vms)
{
    for (std::size_t i = 0; i < vms; ++i)
    {
        vms_[i].cut = true;
        vms_[i].reaches_former = true;
    }
}

void limited_fleet::end_term_in(milliseconds time)
{
    former_ = coordinator_.grantor();
    former_->use_term_end(now_ + time);
    has_coordinator_ = false;
}

void limited_fleet::end_former()
{
    former_->use_term_end(moment{});
}

void limited_fleet::reconnect()
{
    for (auto& vm : vms_)
    {
        vm.cut = false;
        vm.misses = {};
    }
}

void limited_fleet::retake()
{
    proto::DutyRow own;
    own.set_token(token_);
    former_->begin_term(now_, ++token_, own, vms_.size());
    former_->use_term_end(now_ + std::chrono::hours(1));
}

void limited_fleet::cut_from_deputy(std::size_t deputy, std::size_t every)
{
    for (std::size_t i = 0; i < vms_.size(); i += every)
    {
        vms_[i].misses.at(deputy) = true;
    }
}

void limited_fleet::restart(std::size_t vm)
{
    auto& at = vms_.at(vm);
    refused_ += at.held.size();
    at.held.clear();
    at.limits = workspace_limits();
    at.limits.use_settings(now_, settings_);
    at.limits.use_members(now_, vms_.size());
    at.pool = allowance_pool(limit_tolerance{});
    ++at.life;
    at.sequence = 0;
    at.token = 0;
}

void limited_fleet::freeze(std::size_t vm, milliseconds time)
{
    vms_.at(vm).frozen_until = now_ + time;
}

void limited_fleet::use_limits(const session_workspace& limits)
{
    if (now_ >= counted_until_)
    {
        counted_ = settings_.workspaces.at("w");
    }
    counted_.rate = std::max(counted_.rate, limits.rate);
    counted_.burst = std::max(counted_.burst, limits.burst);
    counted_until_ = now_ + 2 * limit_tolerance{}.window;
    ++settings_.version;
    settings_.workspaces["w"] = limits;
    for (auto& vm : vms_)
    {
        vm.limits.use_settings(now_, settings_);
    }
}

void limited_fleet::run(milliseconds time, double asked)
{
    constexpr double steps_per_s = 1000;
    std::poisson_distribution<int> arrivals(asked / steps_per_s);
    for (milliseconds passed{0}; passed < time; ++passed)
    {
        now_ += milliseconds(1);
        if (former_)
        {
            former_->use_term(now_, now_ < former_->term_end());
        }
        for (int left = arrivals(random_); left > 0; --left)
        {
            ask(vms_[random_() % vms_.size()]);
        }
        for (std::size_t i = 0; i < vms_.size(); ++i)
        {
            talk(vms_[i], milliseconds(i) % report_interval);
        }
    }
}

void limited_fleet::admit(std::size_t operations)
{
    const auto& limits =
        now_ < counted_until_ ? counted_ : settings_.workspaces.at("w");
    while (!window_.empty() &&
           window_.front() + limit_tolerance{}.window <= now_)
    {
        window_.pop_front();
    }
    window_.insert(window_.end(), operations, now_);
    admitted_count_ += operations;
    worst_ = std::max(worst_, static_cast<double>(window_.size()) /
                                  allowed_in_window(limits));
}

void limited_fleet::ask(vm& at)
{
    const bool runs = !is_frozen(at);
    if (runs && at.limits.take(now_, "w"))
    {
        admit(1);
    }
    else if (runs && at.limits.may_receive_grant(now_, "w"))
    {
        at.limits.note_held("w");
        at.held.push_back(now_);
    }
    else
    {
        ++refused_;
    }
}

void limited_fleet::talk(vm& at, milliseconds turn)
{
    if (is_frozen(at))
    {
        return;
    }
    const milliseconds since_start(to_ms(now_.time_since_epoch()));
    if (since_start % report_interval == turn)
    {
        report(at);
    }
    else if (at.limits.needs_grant(now_))
    {
        request(at);
    }
    hand_over(at);
    if (since_start % proxy::tick_interval == milliseconds(0))
    {
        admit_held(at);
    }
    while (!at.held.empty() && now_ >= at.held.front() + longest_hold)
    {
        at.held.pop_front();
        ++refused_;
    }
}

/// Who grants to a VM; null if it reaches nobody.
operation_grantor* limited_fleet::grantor_of(const vm& at)
{
    if (at.cut)
    {
        const bool grants = former_ && former_->is_granting(now_);
        return grants ? &*former_ : nullptr;
    }
    return has_coordinator_ ? &coordinator_.grantor() : nullptr;
}

void limited_fleet::admit_held(vm& at)
{
    while (!at.held.empty() && at.limits.take(now_, "w", true))
    {
        at.held.pop_front();
        admit(1);
    }
}

void limited_fleet::report(vm& at)
{
    proto::VmReport message;
    message.set_vm(at.name);
    message.set_life(at.life);
    message.set_token(at.token);
    message.set_sequence(++at.sequence);
    for (auto& demand : at.limits.demand(now_))
    {
        *message.add_demand() = std::move(demand);
    }
    auto* grantor = grantor_of(at);
    if (grantor == nullptr)
    {
        return;
    }
    grantor->apply_report(now_, message);
    workspace_limits::grants given;
    grantor->grant(now_, settings_, at.name, given);
    use(at, *grantor, given);
}

void limited_fleet::request(vm& at)
{
    proto::GrantRequest message;
    for (auto& demand : at.limits.missing(now_))
    {
        *message.add_demand() = std::move(demand);
    }
    message.set_vm(at.name);
    message.set_life(at.life);
    message.set_token(at.token);
    message.set_sequence(++at.sequence);
    workspace_limits::grants given;
    auto* grantor = grantor_of(at);
    if (grantor != nullptr && grantor->grant(now_, settings_, message, given))
    {
        use(at, *grantor, given);
    }
}

void limited_fleet::use(vm& at, const operation_grantor& grantor,
                        const workspace_limits::grants& given)
{
    if (grantor.token() < at.token)
    {
        return; // of a former coordinator
    }
    at.token = grantor.token();
    if (former_ && at.reaches_former)
    {
        former_->note_token(at.token);
    }
    at.limits.use_deputies(names_deputies_ ? deputies.size() : 0);
    at.pool.use_token(at.token);
    at.limits.use_grants(now_, given, grantor.is_in_term());
    admit_held(at);
}

bool limited_fleet::is_lost()
{
    return std::bernoulli_distribution(lost_part_)(random_);
}

void limited_fleet::hand_over(vm& at)
{
    if (!at.limits.is_handover_due(now_, !at.held.empty()))
    {
        return;
    }
    proto::OperationHandover message;
    message.set_vm(at.name);
    message.set_life(at.life);
    message.set_sequence(++at.sequence);
    message.set_token(at.token);
    workspace_limits::held_statements held;
    if (!at.held.empty())
    {
        held["w"] = at.held.size();
    }
    for (auto& operations : at.limits.hand_over(now_, message.sequence(), held))
    {
        *message.add_operations() = std::move(operations);
    }
    const auto index = at.limits.deputy().index();
    auto& deputy = vms_.at(deputies.at(index));
    proto::HandoverReply reply;
    if (at.misses.at(index) || is_frozen(deputy) || is_lost() ||
        !deputy.pool.use_handover(now_, settings_, message, reply))
    {
        return;
    }
    if (is_lost()) // this time it arrives twice
    {
        proto::HandoverReply second;
        deputy.pool.use_handover(now_, settings_, message, second);
        at.limits.use_handover_reply(second);
    }
    if (!is_lost() && at.limits.use_handover_reply(reply))
    {
        admit_held(at);
    }
}

} // namespace tanagerhoist::standin
