#ifndef TANAGERHOIST_STANDIN_PROMOTION_RECORD_HPP
#define TANAGERHOIST_STANDIN_PROMOTION_RECORD_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace tanagerhoist::standin
{

/// Request to promote a server.
struct promotion_order
{
    std::string holder;      ///< the VM that says that it is the coordinator
    std::uint64_t token = 0; ///< its fencing token
    std::string server;
};

/// Promotion requests in the order of their arrival, and what is wrong with
/// their tokens.
class promotion_record
{
public:
    void add(const promotion_order& next);

    const std::vector<promotion_order>& orders() const { return orders_; }

    /// A text for each token that two holders sent or that was lower than one
    /// before.
    const std::vector<std::string>& violations() const { return violations_; }

private:
    std::vector<promotion_order> orders_;
    std::vector<std::string> violations_;
};

/// One line of text for a request.
std::string to_text(const promotion_order& order);

} // namespace tanagerhoist::standin

#endif
