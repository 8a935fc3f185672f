#ifndef TANAGERHOIST_DECISION_SLICE_POLICY_HPP
#define TANAGERHOIST_DECISION_SLICE_POLICY_HPP

#include "messages.pb.h"

#include <cstdint>

namespace tanagerhoist
{

/// What a holder owns of a resource and what its own demand needs.
struct holding
{
    std::uint64_t parts = 0;
    std::uint64_t needed_parts = 0;  ///< for its own demand
    std::uint64_t tokens = 0;        ///< millionths; unused for connections
    std::uint64_t needed_tokens = 0; ///< for its own demand in the near future
    /// Bucket capacity of all parts together; 0 for connections.
    std::uint64_t whole_tokens = 0;
};

/// Decides how much of a holding is transferred to a peer that asks.
class slice_policy
{
public:
    slice_policy() = default;
    slice_policy(const slice_policy&) = delete;
    slice_policy& operator=(const slice_policy&) = delete;
    virtual ~slice_policy() = default;

    /// Returns the slice to transfer; its tokens never exceed the bucket
    /// capacity of its parts.
    /// @param urgent a request is waiting at the peer that asks
    virtual proto::Slice give(const holding& has, const proto::Slice& want,
                              bool urgent) const = 0;
};

/// Transfers what the holder's own demand doesn't need.
class demand_policy : public slice_policy
{
public:
    proto::Slice give(const holding& has, const proto::Slice& want,
                      bool urgent) const override;
};

/// Transfers nothing: the initial allocation stays fixed.
class fixed_policy : public slice_policy
{
public:
    proto::Slice give(const holding& has, const proto::Slice& want,
                      bool urgent) const override;
};

} // namespace tanagerhoist

#endif
