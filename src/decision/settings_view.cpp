#include "tanagerhoist/decision/settings_view.hpp"

#include <algorithm>
#include <utility>

namespace tanagerhoist
{
namespace
{

/// Indexes the sections of one type by name.
template <class Sections, class Index>
void fill(const Sections& sections, Index& index)
{
    for (const auto& section : sections)
    {
        index.emplace(section.name(), &section);
    }
}

/// Looks up a section by name; null if there is none.
template <class Index>
typename Index::mapped_type find(const Index& index, std::string_view name)
{
    const auto found = index.find(name);
    return found == index.end() ? nullptr : found->second;
}

} // namespace

settings_view::settings_view(proto::Settings settings)
    : settings_(std::move(settings))
{
    fill(settings_.route(), routes_);
    fill(settings_.database(), databases_);
    fill(settings_.server(), servers_);
    fill(settings_.workspace(), workspaces_);
    fill(settings_.key(), keys_);
    for (const auto& server : settings_.server())
    {
        servers_of_[server.database()].push_back(&server);
    }
    for (auto& [database, servers] : servers_of_)
    {
        std::sort(servers.begin(), servers.end(),
                  [](const auto* a, const auto* b)
                  { return a->name() < b->name(); });
    }
}

const proto::RouteSettings* settings_view::route(std::string_view name) const
{
    return find(routes_, name);
}

const proto::DatabaseSettings*
settings_view::database(std::string_view name) const
{
    return find(databases_, name);
}

const proto::ServerSettings* settings_view::server(std::string_view name) const
{
    return find(servers_, name);
}

const proto::WorkspaceSettings*
settings_view::workspace(std::string_view name) const
{
    return find(workspaces_, name);
}

const proto::KeySettings* settings_view::key(std::string_view id) const
{
    return find(keys_, id);
}

const std::vector<const proto::ServerSettings*>&
settings_view::servers_of(std::string_view database) const
{
    static const std::vector<const proto::ServerSettings*> none;
    const auto found = servers_of_.find(database);
    return found == servers_of_.end() ? none : found->second;
}

} // namespace tanagerhoist
