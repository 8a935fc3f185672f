#ifndef TANAGERHOIST_ADAPTER_PEER_LINK_HPP
#define TANAGERHOIST_ADAPTER_PEER_LINK_HPP

#include "messages.pb.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace tanagerhoist
{

/// Sends and receives peer messages over nng. A message may be lost, delayed or
/// duplicated; the decision layer tolerates all three.
class peer_link
{
public:
    /// Called on an nng thread with each message and its size in bytes.
    using receiver = std::function<void(proto::PeerMessage, std::size_t)>;

    /// Listens on `address` and `port`.
    /// @throws std::runtime_error if it cannot listen there
    peer_link(const std::string& address, std::uint16_t port, receiver receive);

    /// Stops calling the receiver. The sockets stay open until the process
    /// ends, so create only one link per process.
    ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    /// Sets the address on which a VM listens, replacing an earlier one.
    void set_peer(const std::string& vm, const std::string& address,
                  std::uint16_t port);

    /// Sends without blocking.
    /// @return bytes sent; 0 if the peer is unknown or its queue is full
    std::size_t send(const proto::PeerMessage& message);

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace tanagerhoist

#endif
