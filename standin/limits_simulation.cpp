#include "standin/limits_simulation_process.hpp"

#include <algorithm>
#include <utility>

namespace tanagerhoist::standin
{

namespace
{

constexpr milliseconds tick_interval{50};

} // namespace

limits_simulation::limits_simulation(limits_simulation_options options)
    : options_(std::move(options)), random_(options_.seed)
{
    use_settings(options_.settings);
    for (std::size_t vm = 0; vm < options_.vms; ++vm)
    {
        start(vm);
    }
}

limits_simulation::~limits_simulation() = default;

std::string limits_simulation::name(std::size_t vm) const
{
    return "vm" + std::to_string(vm);
}

std::string limits_simulation::data_centre_of(std::size_t vm) const
{
    return "dc" + std::to_string(vm % options_.data_centres);
}

void limits_simulation::schedule_at(moment when, std::function<void()> run)
{
    events_.emplace(when, std::move(run));
}

void limits_simulation::advance(microseconds span)
{
    const moment end = now_ + span;
    while (!events_.empty() && events_.begin()->first <= end)
    {
        auto node = events_.extract(events_.begin());
        now_ = std::max(now_, node.key());
        node.mapped()();
    }
    now_ = end;
}

limits_simulation::process* limits_simulation::find(std::uint64_t id)
{
    const auto found = processes_.find(id);
    return found == processes_.end() ? nullptr : found->second.get();
}

limits_simulation::process* limits_simulation::find(const std::string& vm)
{
    for (auto& [unused, each] : processes_)
    {
        if (each->self.vm == vm)
        {
            return each.get();
        }
    }
    return nullptr;
}

void limits_simulation::start(std::size_t vm)
{
    kill(vm);
    const std::uint64_t id = next_id_++;
    auto fresh =
        std::make_unique<process>(id, name(vm), data_centre_of(vm),
                                  options_.policy(), options_.limits, now_);
    fresh->settings = settings_.get();
    processes_.emplace(id, std::move(fresh));
    relist(vm);
    const microseconds phase(random_() % to_us(moment(tick_interval)));
    schedule_at(now_ + phase, [this, id] { tick(id); });
}

void limits_simulation::relist(std::size_t vm)
{
    proto::ListedVm listed;
    listed.set_vm(name(vm));
    listed.set_data_centre(data_centre_of(vm));
    platform_.list(now_, listed);
}

void limits_simulation::kill(std::size_t vm)
{
    if (auto* dead = find(name(vm)))
    {
        processes_.erase(dead->id);
    }
}

void limits_simulation::drop(std::size_t vm)
{
    platform_.drop(now_, name(vm));
}

bool limits_simulation::running(std::size_t vm) const
{
    return std::any_of(processes_.begin(), processes_.end(),
                       [&](const auto& each)
                       { return each.second->self.vm == name(vm); });
}

void limits_simulation::freeze(std::size_t vm)
{
    if (auto* each = find(name(vm)))
    {
        each->frozen = true;
    }
}

void limits_simulation::thaw(std::size_t vm)
{
    auto* each = find(name(vm));
    if (each == nullptr || !each->frozen)
    {
        return;
    }
    each->frozen = false;
    for (auto& run : std::exchange(each->backlog, {}))
    {
        run();
    }
}

void limits_simulation::cut_platform(std::size_t vm, bool cut)
{
    cut ? (void)cut_platform_.insert(name(vm))
        : (void)cut_platform_.erase(name(vm));
}

void limits_simulation::cut_peers(std::size_t vm, bool cut)
{
    cut ? (void)cut_peers_.insert(name(vm)) : (void)cut_peers_.erase(name(vm));
}

void limits_simulation::set_message_faults(unsigned lost, unsigned repeated)
{
    lost_ = lost;
    repeated_ = repeated;
}

void limits_simulation::use_settings(proto::Settings settings)
{
    if (settings_)
    {
        old_settings_.push_back(std::move(settings_));
    }
    settings_ = std::make_unique<settings_view>(std::move(settings));
    for (const auto& each : settings_->all().workspace())
    {
        windows_[each.name()].rate = static_cast<std::int64_t>(each.rate());
        auto& bucket = reference_[each.name()];
        bucket.use_share(now_, each.rate(), each.burst(), share_parts);
        bucket.add(now_, each.burst() * token_unit);
    }
    for (auto& [unused, each] : processes_)
    {
        each->settings = settings_.get();
    }
}

limiter& limits_simulation::limits(std::size_t vm)
{
    return find(name(vm))->limits;
}

membership& limits_simulation::members(std::size_t vm)
{
    return find(name(vm))->members;
}

void limits_simulation::reset_counts()
{
    counts_.clear();
    messages_ = 0;
    bytes_ = 0;
    platform_calls_ = 0;
}

std::uint64_t
limits_simulation::usable_and_free_parts(const std::string& resource) const
{
    std::uint64_t sum = 0;
    for (const auto& [unused, each] : processes_)
    {
        sum += each->frozen ? 0 : each->limits.parts(resource);
    }
    const auto dump = platform_.dump();
    for (const auto& [name, row] : dump.row())
    {
        proto::ShareRow share;
        if (name == "share/" + resource && share.ParseFromString(row.value()))
        {
            sum += share.free_parts();
        }
    }
    return sum;
}

std::int64_t
limits_simulation::max_rate_excess(const std::string& workspace) const
{
    const auto found = windows_.find(workspace);
    return found == windows_.end() ? 0 : found->second.largest;
}

} // namespace tanagerhoist::standin
