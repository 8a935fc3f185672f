#ifndef TANAGERHOIST_STANDIN_WIRE_RIG_HPP
#define TANAGERHOIST_STANDIN_WIRE_RIG_HPP

#include "standin/http_client.hpp"
#include "standin/wire_clients.hpp"
#include "standin/wire_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tanagerhoist::standin
{

struct wire_rig_options
{
    boost::asio::ip::tcp::endpoint store;
    boost::asio::ip::tcp::endpoint daemon;    ///< its sessions
    boost::asio::ip::tcp::endpoint readiness; ///< its readiness probe
    boost::asio::ip::tcp::endpoint servers;   ///< first of the servers
    std::size_t clients = 0;
    std::size_t statements = 0; ///< of each client, at least
    std::uint64_t seed = 0;
    std::size_t most_cases = 0; ///< of each check, kept in full
};

/// A group of three servers and the clients of one daemon. Writes the servers
/// and routes to the store, and begins once the daemon is ready.
class wire_rig
{
public:
    /// @param done called once all clients have ended and nothing runs any more
    wire_rig(boost::asio::io_context& context, const wire_rig_options& options,
             const wire_mode& mode, std::function<void()> done);

    const wire_ledger& ledger() const { return ledger_; }

private:
    void write_rows();
    std::string rows() const;
    void probe();
    void begin();
    void later(milliseconds delay, std::function<void()> work);

    boost::asio::io_context& context_;
    wire_rig_options options_;
    const wire_mode& mode_;
    wire_ledger ledger_;
    wire_group group_;
    std::vector<std::unique_ptr<wire_server>> servers_;
    http_client store_;
    boost::asio::steady_timer timer_;
    std::optional<wire_clients> clients_;
    std::function<void()> done_;
};

} // namespace tanagerhoist::standin

#endif
