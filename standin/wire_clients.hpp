#ifndef TANAGERHOIST_STANDIN_WIRE_CLIENTS_HPP
#define TANAGERHOIST_STANDIN_WIRE_CLIENTS_HPP

#include "standin/wire_ledger.hpp"
#include "standin/wire_modes.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace tanagerhoist::standin
{

struct wire_clients_options
{
    boost::asio::ip::tcp::endpoint daemon;
    std::vector<std::string> databases;
    std::size_t clients = 0;
    std::size_t statements = 0; ///< of each client, at least
    std::uint64_t seed = 0;
};

/// Clients that check their answers. Each draws its operations from its own
/// seed.
class wire_clients
{
public:
    /// @param done called once all clients have ended
    wire_clients(boost::asio::io_context& context, wire_clients_options options,
                 const wire_mode& mode, wire_ledger& ledger,
                 std::function<void()> done);
    ~wire_clients();
    wire_clients(const wire_clients&) = delete;
    wire_clients& operator=(const wire_clients&) = delete;

private:
    class client;

    wire_clients_options options_;
    std::vector<std::unique_ptr<client>> clients_;
    std::size_t running_;
    std::function<void()> done_;
};

} // namespace tanagerhoist::standin

#endif
