#ifndef TANAGERHOIST_FLEET_MESSAGE_ORDER_HPP
#define TANAGERHOIST_FLEET_MESSAGE_ORDER_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

namespace tanagerhoist
{

/// Order of the messages of one VM, whose processes follow each other and
/// number their messages. Datagrams may be repeated and reordered; those of a
/// process that has been replaced don't count any more.
class message_order
{
public:
    /// Whether a message is newer than all messages before it. If so, it
    /// becomes the newest one.
    /// @param life number of the process; random, so that it tells no order
    bool accept(std::uint64_t life, std::uint64_t sequence);

    /// Process that sent the newest message; 0: there is none.
    std::uint64_t life() const { return life_; }

private:
    /// Replaced processes that are remembered.
    static constexpr std::size_t most_former = 8;

    std::uint64_t life_ = 0;
    std::uint64_t sequence_ = 0;
    std::vector<std::uint64_t> former_; ///< replaced processes, newest last
};

} // namespace tanagerhoist

#endif
