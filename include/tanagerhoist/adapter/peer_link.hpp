#ifndef TANAGERHOIST_ADAPTER_PEER_LINK_HPP
#define TANAGERHOIST_ADAPTER_PEER_LINK_HPP

#include "messages.pb.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace tanagerhoist
{

/// Messages to and from peers over nng. A message may be lost, late or
/// repeated; the decision layer allows for all three.
class peer_link
{
public:
    /// Called from a thread of nng with each message and its size in bytes.
    using receiver = std::function<void(proto::PeerMessage, std::size_t)>;

    /// Listens on `address` and `port`.
    /// @throws std::runtime_error if the port can't be had
    peer_link(const std::string& address, std::uint16_t port, receiver receive);

    /// After this the receiver is not called any more. The sockets stay open
    /// until the process ends; make one link per process.
    ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    /// Tells where a VM listens. A changed address replaces the old one.
    void set_peer(const std::string& vm, const std::string& address,
                  std::uint16_t port);

    /// Sends without waiting.
    /// @return bytes sent; 0 if the peer is unknown or its queue is full
    std::size_t send(const proto::PeerMessage& message);

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace tanagerhoist

#endif
