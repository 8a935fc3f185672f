#ifndef TANAGERHOIST_TOOLS_LOAD_LOAD_CLIENT_HPP
#define TANAGERHOIST_TOOLS_LOAD_LOAD_CLIENT_HPP

#include "fleet_config.hpp"
#include "messages.pb.h"
#include "tanagerhoist/adapter/http_stream.hpp"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tanagerhoist::load
{

/// HTTP client that reuses idle connections and runs one call at a time on
/// each. Its calls suspend the calling fiber.
class load_client
{
public:
    explicit load_client(boost::asio::io_context& context);

    /// Sends one request to a daemon.
    /// @param key ID.SECRET; empty sends no key
    /// @return nothing if no complete, well-formed reply arrived in time
    std::optional<proto::CallerReply> send(const endpoint& daemon,
                                           const std::string& key,
                                           const proto::CallerRequest& request,
                                           milliseconds timeout);

    /// Sends one HTTP request to a process.
    /// @return nothing if no complete answer arrived in time
    std::optional<http_answer> exchange(const endpoint& to,
                                        const http_request& request,
                                        milliseconds timeout);

private:
    using stream_ptr = std::unique_ptr<http_client_stream>;

    /// Reuses an idle connection or opens one; null if that fails.
    stream_ptr open_stream(const endpoint& to, milliseconds timeout);

    boost::asio::io_context& context_;
    std::map<std::uint16_t, std::vector<stream_ptr>> idle_; ///< by port
};

} // namespace tanagerhoist::load

#endif
