#include "tanagerhoist/adapter/peer_link.hpp"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <map>
#include <mutex>
#include <stdexcept>
#include <utility>

namespace tanagerhoist
{
namespace
{

constexpr int send_queue_length = 256;            // messages to one peer
constexpr std::size_t max_message_size = 4 << 20; // bytes
constexpr nng_duration min_reconnect_time = 50;   // ms
constexpr nng_duration max_reconnect_time = 500;  // ms

std::string url(const std::string& address, std::uint16_t port)
{
    return "tcp://" + address + ":" + std::to_string(port);
}

} // namespace

struct peer_link::state
{
    explicit state(receiver r) : receive(std::move(r)) {}

    struct peer
    {
        std::string url;
        nng_socket socket = NNG_SOCKET_INITIALIZER;
    };

    static void on_receive(void* self)
    {
        static_cast<state*>(self)->handle_message();
    }

    void handle_message()
    {
        if (nng_aio_result(aio) != 0)
        {
            return; // the socket was closed
        }
        nng_msg* message = nng_aio_get_msg(aio);
        proto::PeerMessage parsed;
        const auto size = nng_msg_len(message);
        if (parsed.ParseFromArray(nng_msg_body(message),
                                  static_cast<int>(size)))
        {
            const std::lock_guard lock(mutex);
            if (receive)
            {
                receive(std::move(parsed), size);
            }
        }
        nng_msg_free(message);
        nng_recv_aio(listener, aio);
    }

    std::mutex mutex; ///< guards `receive`
    receiver receive; ///< null once the link is destroyed
    nng_socket listener = NNG_SOCKET_INITIALIZER;
    nng_aio* aio = nullptr;
    std::map<std::string, peer> peers;
};

peer_link::peer_link(const std::string& address, std::uint16_t port,
                     receiver receive)
    : state_(std::make_unique<state>(std::move(receive)))
{
    if (nng_pull0_open(&state_->listener) != 0)
    {
        throw std::runtime_error("cannot open the nng socket for peers");
    }
    nng_socket_set_size(state_->listener, NNG_OPT_RECVMAXSZ, max_message_size);
    const auto where = url(address, port);
    const int error = nng_listen(state_->listener, where.c_str(), nullptr, 0);
    if (error != 0)
    {
        nng_close(state_->listener);
        throw std::runtime_error("peers: " + where + ": " +
                                 nng_strerror(error));
    }
    nng_aio_alloc(&state_->aio, &state::on_receive, state_.get());
    nng_recv_aio(state_->listener, state_->aio);
}

peer_link::~peer_link()
{
    {
        // Waits for a running receiver.
        const std::lock_guard lock(state_->mutex);
        state_->receive = nullptr;
    }
    // nng_close can block forever when peers shut down at the same time. The
    // state is leaked on purpose: nng's threads still use it, and the sockets
    // are closed when the process ends.
    static_cast<void>(state_.release());
}

void peer_link::set_peer(const std::string& vm, const std::string& address,
                         std::uint16_t port)
{
    auto& peer = state_->peers[vm];
    const auto where = url(address, port);
    if (peer.url == where)
    {
        return;
    }
    if (!peer.url.empty())
    {
        nng_close(peer.socket);
    }
    peer.url = where;
    nng_push0_open(&peer.socket);
    nng_socket_set_int(peer.socket, NNG_OPT_SENDBUF, send_queue_length);
    nng_socket_set_ms(peer.socket, NNG_OPT_RECONNMINT, min_reconnect_time);
    nng_socket_set_ms(peer.socket, NNG_OPT_RECONNMAXT, max_reconnect_time);
    nng_dial(peer.socket, where.c_str(), nullptr, NNG_FLAG_NONBLOCK);
}

std::size_t peer_link::send(const proto::PeerMessage& message)
{
    const auto it = state_->peers.find(message.to());
    if (it == state_->peers.end())
    {
        return 0;
    }
    const std::string bytes = message.SerializeAsString();
    nng_msg* out = nullptr;
    if (nng_msg_alloc(&out, 0) != 0)
    {
        return 0;
    }
    if (nng_msg_append(out, bytes.data(), bytes.size()) != 0 ||
        nng_sendmsg(it->second.socket, out, NNG_FLAG_NONBLOCK) != 0)
    {
        nng_msg_free(out); // the message is dropped, e.g. if the queue is full
        return 0;
    }
    return bytes.size();
}

} // namespace tanagerhoist
