#ifndef TANAGERHOIST_SESSION_COMMIT_POSITIONS_HPP
#define TANAGERHOIST_SESSION_COMMIT_POSITIONS_HPP

#include "tanagerhoist/session/log_position.hpp"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace tanagerhoist
{

/// What a session must find in the log of a server that it reads from.
struct own_commits
{
    /// The session's last commit in the group's log; nullopt: it has none.
    std::optional<log_position> position;

    /// It may have commits there whose position is no longer known: only the
    /// primary surely has them.
    bool is_lost = false;
};

/// Positions of a session's last commits in the logs of the groups that its
/// route has pointed to. A route can come back to a group, so they are kept
/// when it leaves; of more than `most` groups, only the latest written to.
class commit_positions
{
public:
    static constexpr std::size_t most = 4; ///< groups

    /// Notes the position of a commit.
    void add(const std::string& group, const log_position& position)
    {
        const auto found = find(group);
        if (found != known_.end())
        {
            known_.erase(found);
        }
        else if (known_.size() == most)
        {
            known_.erase(known_.begin());
            lost_any_ = true;
        }
        known_.push_back({group, position});
    }

    /// What a read in `group` must find.
    own_commits in(const std::string& group) const
    {
        const auto found = std::find_if(known_.begin(), known_.end(),
                                        [&group](const entry& known)
                                        { return known.group == group; });
        if (found == known_.end())
        {
            return {std::nullopt, lost_any_};
        }
        return {found->position, false};
    }

private:
    struct entry
    {
        std::string group;
        log_position position;
    };

    std::vector<entry>::iterator find(const std::string& group)
    {
        return std::find_if(known_.begin(), known_.end(),
                            [&group](const entry& known)
                            { return known.group == group; });
    }

    std::vector<entry> known_; ///< written to the longest ago first
    bool lost_any_ = false;
};

} // namespace tanagerhoist

#endif
