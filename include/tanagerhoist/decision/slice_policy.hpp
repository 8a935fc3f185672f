#ifndef TANAGERHOIST_DECISION_SLICE_POLICY_HPP
#define TANAGERHOIST_DECISION_SLICE_POLICY_HPP

#include "messages.pb.h"

#include <cstdint>

namespace tanagerhoist
{

/// What a holder has of a resource and what it needs itself.
struct holding
{
    std::uint64_t parts = 0;
    std::uint64_t needed_parts = 0;  ///< that its own demand takes up
    std::uint64_t tokens = 0;        ///< millionths; unused for connections
    std::uint64_t needed_tokens = 0; ///< that its own demand soon takes up
    /// Tokens that all parts together can carry; 0 for connections.
    std::uint64_t whole_tokens = 0;
};

/// Decides what of a holding goes to a peer that asks.
class slice_policy
{
public:
    slice_policy() = default;
    slice_policy(const slice_policy&) = delete;
    slice_policy& operator=(const slice_policy&) = delete;
    virtual ~slice_policy() = default;

    /// Slice to give; tokens never exceed what its parts can carry.
    /// @param urgent a request waits at the asker
    virtual proto::Slice give(const holding& has, const proto::Slice& want,
                              bool urgent) const = 0;
};

/// Gives what the holder's own demand does not take up.
class demand_policy : public slice_policy
{
public:
    proto::Slice give(const holding& has, const proto::Slice& want,
                      bool urgent) const override;
};

/// Gives nothing: the first allotment stays as it is.
class fixed_policy : public slice_policy
{
public:
    proto::Slice give(const holding& has, const proto::Slice& want,
                      bool urgent) const override;
};

} // namespace tanagerhoist

#endif
