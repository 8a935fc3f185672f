#ifndef TANAGERHOIST_DECISION_SETTINGS_VIEW_HPP
#define TANAGERHOIST_DECISION_SETTINGS_VIEW_HPP

#include "settings.pb.h"

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tanagerhoist
{

/// Whether a yes/no setting is "yes". An absent setting counts as "no".
inline bool is_yes(std::string_view value) noexcept
{
    return value == "yes";
}

/// Published settings, indexed by name. Immutable and thus thread-safe;
/// returned pointers are valid for the lifetime of the view.
class settings_view
{
public:
    explicit settings_view(proto::Settings settings);

    settings_view(const settings_view&) = delete;
    settings_view& operator=(const settings_view&) = delete;

    const proto::Settings& all() const noexcept { return settings_; }
    std::uint64_t version() const noexcept { return settings_.version(); }

    /// Look up a section by name; null if there is none.
    const proto::RouteSettings* route(std::string_view name) const;
    const proto::DatabaseSettings* database(std::string_view name) const;
    const proto::ServerSettings* server(std::string_view name) const;
    const proto::WorkspaceSettings* workspace(std::string_view name) const;
    const proto::KeySettings* key(std::string_view id) const;

    /// Servers of a database group, sorted by name; empty if the database is
    /// unknown.
    const std::vector<const proto::ServerSettings*>&
    servers_of(std::string_view database) const;

private:
    template <class Section>
    using index = std::unordered_map<std::string_view, const Section*>;

    proto::Settings settings_;
    index<proto::RouteSettings> routes_;
    index<proto::DatabaseSettings> databases_;
    index<proto::ServerSettings> servers_;
    index<proto::WorkspaceSettings> workspaces_;
    index<proto::KeySettings> keys_;
    std::unordered_map<std::string_view,
                       std::vector<const proto::ServerSettings*>>
        servers_of_;
};

} // namespace tanagerhoist

#endif
