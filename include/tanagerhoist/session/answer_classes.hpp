#ifndef TANAGERHOIST_SESSION_ANSWER_CLASSES_HPP
#define TANAGERHOIST_SESSION_ANSWER_CLASSES_HPP

#include "tanagerhoist/session/answer_times.hpp"
#include "tanagerhoist/session/client_session.hpp"

#include <map>
#include <string>

namespace tanagerhoist
{

/// The class that holds the answers of all databases with the consistency of a
/// session's. The name of a database has no blank.
inline statement_class pooled_class(const client_session& session, bool writes)
{
    const auto consistency = static_cast<int>(session.consistency);
    return {' ' + std::to_string(consistency), writes};
}

/// Answer times of a session's database or, as long as too few of its answers
/// are known, of all databases with its consistency.
/// @return null if neither has any
inline const answer_times*
known_times(const std::map<statement_class, answer_times>& all,
            const client_session& session, const statement_class& own)
{
    const auto exact = all.find(own);
    if (exact != all.end() && exact->second.quantile(1))
    {
        return &exact->second;
    }
    const auto pooled = all.find(pooled_class(session, own.writes));
    return pooled == all.end() ? nullptr : &pooled->second;
}

} // namespace tanagerhoist

#endif
