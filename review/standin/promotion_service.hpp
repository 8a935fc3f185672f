#ifndef TANAGERHOIST_REVIEW_STANDIN_PROMOTION_SERVICE_HPP
#define TANAGERHOIST_REVIEW_STANDIN_PROMOTION_SERVICE_HPP

#include "database_group.hpp"
#include "http_service.hpp"
#include "record.hpp"

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace tanagerhoist::review
{

/// Stand-in of the platform's calls that are the duty of one daemon: `POST
/// /failover`. It does not check fences (requireFencing is false), but notes
/// whether the rule ONE is kept.
class promotion_service
{
public:
    promotion_service(const std::string& address,
                      std::vector<database_group*> groups, record& lines);

    std::string endpoint() const { return service_.endpoint(); }

    std::size_t orders() const;

    /// What broke the rule ONE; empty if nothing did.
    std::string violation() const;

private:
    struct order
    {
        std::string holder;
        std::uint64_t token = 0;
    };

    http_reply handle(const http_request& request);
    void check(const order& next);

    mutable std::mutex mutex_;
    std::vector<database_group*> groups_;
    record& record_;
    std::vector<order> orders_;
    std::string violation_;
    http_service service_; ///< last: its threads use the other members
};

} // namespace tanagerhoist::review

#endif
