#ifndef TANAGERHOIST_STANDIN_CLIENT_CROWD_HPP
#define TANAGERHOIST_STANDIN_CLIENT_CROWD_HPP

#include "tanagerhoist/core/time.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace tanagerhoist::standin
{

/// How the clients of a crowd misbehave.
struct crowd_pattern
{
    const char* name;
    bool starts; ///< whether a client sends `STARTUP` first

    /// Returns the bytes of a client's message number `n`.
    std::string (*message)(unsigned n);
    unsigned messages; ///< of each client
    std::size_t piece; ///< bytes sent at once; 0: the whole message
    std::size_t read;  ///< bytes read at once; 0: reads nothing
    milliseconds read_pause;
    milliseconds trickle; ///< pause between the last bytes; 0: not sent
    bool redials = false; ///< whether a closed client connects again
};

/// Returns the pattern with this name, or null.
const crowd_pattern* find_crowd_pattern(std::string_view name);

/// Clients that all follow one pattern. They keep their connections.
class client_crowd
{
public:
    /// @param settled called once no client has sent for `quiet_time`
    client_crowd(boost::asio::io_context& context,
                 const boost::asio::ip::tcp::endpoint& daemon,
                 const std::string& database, const crowd_pattern& pattern,
                 std::size_t clients, std::function<void()> settled);
    ~client_crowd();
    client_crowd(const client_crowd&) = delete;
    client_crowd& operator=(const client_crowd&) = delete;

private:
    class client;
    static constexpr milliseconds quiet_time{2000};

    void note_progress() { progressed_ = true; }
    void watch();

    boost::asio::steady_timer timer_;
    std::function<void()> settled_;
    bool progressed_ = false;
    std::vector<std::shared_ptr<client>> clients_;
};

} // namespace tanagerhoist::standin

#endif
