#include "promotion_service.hpp"

#include <boost/json.hpp>

#include <utility>

namespace tanagerhoist::review
{
namespace
{

constexpr unsigned status_ok = 200;
constexpr unsigned status_conflict = 409;

} // namespace

promotion_service::promotion_service(const std::string& address,
                                     std::vector<database_group*> groups,
                                     record& lines)
    : groups_(std::move(groups)),
      record_(lines),
      service_(address,
               [this](const http_request& request) { return handle(request); })
{
}

std::size_t promotion_service::orders() const
{
    const std::lock_guard lock(mutex_);
    return orders_.size();
}

std::string promotion_service::violation() const
{
    const std::lock_guard lock(mutex_);
    return violation_;
}

/// "Two holders promote with the same fencing token, or [...] where the
/// platform doesn't check fences, send a lower one than it has seen."
void promotion_service::check(const order& next)
{
    for (const auto& former : orders_)
    {
        if (former.token == next.token && former.holder != next.holder)
        {
            violation_ = former.holder + " and " + next.holder +
                         " promote with the same token " +
                         std::to_string(next.token);
        }
        else if (next.token < former.token)
        {
            violation_ = next.holder + " sends token " +
                         std::to_string(next.token) + " after " +
                         std::to_string(former.token) + " of " + former.holder;
        }
    }
    orders_.push_back(next);
}

http_reply promotion_service::handle(const http_request& request)
{
    const auto body = boost::json::parse(request.body()).as_object();
    const auto group = boost::json::value_to<std::string>(body.at("backend"));
    const auto server = boost::json::value_to<std::string>(body.at("id"));
    const order next{std::string(request["Duty-Holder"]),
                     std::stoull(std::string(request["Fencing-Token"]))};
    bool known = false;
    {
        const std::lock_guard lock(mutex_);
        check(next);
        for (auto* candidate : groups_)
        {
            known = known ||
                    (candidate->name() == group && candidate->promote(server));
        }
    }
    record_.write(next.holder + " orders the promotion of " + server +
                  " with token " + std::to_string(next.token));
    return {known ? status_ok : status_conflict, "{}"};
}

} // namespace tanagerhoist::review
