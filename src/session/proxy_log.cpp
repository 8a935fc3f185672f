#include "tanagerhoist/session/proxy.hpp"

// Log lines of statements.
namespace tanagerhoist
{

void proxy::log_statement(log_level level, std::string_view event, moment now,
                          const client_session& session, std::string_view cause)
{
    if (!log_.should_log(level))
    {
        return;
    }
    const auto& request = session.request;
    const auto* lead = lead_of(session.group);
    log_.write(
        level, event,
        {{"request", request.id},
         {"workspace", session.workspace},
         {"database", session.database},
         {"group", session.group},
         {"server", request.server.empty() ? std::string("-") : request.server},
         {"after", request.after ? std::to_string(request.after->term) + '.' +
                                       std::to_string(request.after->number)
                                 : std::string("-")},
         {"took_ms", std::to_string(to_ms(now - request.arrived))},
         {"attempts", std::to_string(request.attempts)},
         {"settings",
          settings_ ? std::to_string(settings_->version) : std::string("-")},
         {"epoch",
          lead == nullptr ? std::string("-") : std::to_string(lead->epoch())},
         {"right_ms", std::to_string(to_ms(primary_lease_.age(now)))},
         {"cause", std::string(cause)}});
}

} // namespace tanagerhoist
