#include "tanagerhoist/session/region_rules.hpp"

#include <algorithm>
#include <utility>

namespace tanagerhoist
{
namespace
{

const region_set* null_if_empty(const region_set* regions)
{
    return regions == nullptr || regions->empty() ? nullptr : regions;
}

std::string joined(const region_set& regions)
{
    std::string text;
    for (const auto& region : regions)
    {
        text += text.empty() ? region : "," + region;
    }
    return text;
}

} // namespace

region_map::region_map(std::map<std::string, std::string> regions)
    : regions_(std::move(regions))
{
}

const std::string* region_map::region_of(const std::string& data_centre) const
{
    const auto it = regions_.find(data_centre);
    return it == regions_.end() ? nullptr : &it->second;
}

bool region_map::has_region(const std::string& region) const
{
    return std::any_of(regions_.begin(), regions_.end(),
                       [&region](const auto& entry)
                       { return entry.second == region; });
}

region_restriction::region_restriction(const region_map& regions,
                                       const region_set* route,
                                       const region_set* workspace)
    : regions_(regions),
      route_(null_if_empty(route)),
      workspace_(null_if_empty(workspace))
{
}

bool region_restriction::allows(const std::string& data_centre) const
{
    if (!is_restricted())
    {
        return true;
    }
    const auto* region = regions_.region_of(data_centre);
    return region != nullptr &&
           (route_ == nullptr || route_->count(*region) != 0) &&
           (workspace_ == nullptr || workspace_->count(*region) != 0);
}

std::string region_restriction::text() const
{
    if (route_ == nullptr || workspace_ == nullptr)
    {
        const auto* only = route_ == nullptr ? workspace_ : route_;
        return only == nullptr ? "all" : joined(*only);
    }
    return joined(*route_) + " and " + joined(*workspace_);
}

region_refusal refusal_in(const group_regions& group, bool needs_primary)
{
    if (group.has_servers && !group.has_allowed_servers)
    {
        return region_refusal::no_server;
    }
    const bool elsewhere =
        needs_primary && !group.primary_allowed.value_or(true);
    return elsewhere ? region_refusal::primary_elsewhere : region_refusal::none;
}

} // namespace tanagerhoist
