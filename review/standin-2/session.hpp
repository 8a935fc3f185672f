#ifndef TANAGERHOIST_REVIEW_SESSION_HPP
#define TANAGERHOIST_REVIEW_SESSION_HPP

#include "store.hpp"

#include <string>

namespace tanagerhoist::review
{

/// How a client's statement ended.
struct outcome
{
    bool complete = false; ///< with READY
    std::string result;    ///< COMPLETE's signature, or ERROR's code and text
    bool is_error = false;
    char state = '?';
    std::uint64_t position = 0; ///< number in READY's position; 0: none
};

/// A client's session on a connection.
class session
{
public:
    explicit session(asio::io_context& context) : socket_(context) {}

    /// Connects and starts.
    /// @return whether READY came
    bool start(std::uint16_t port, const std::string& database,
               const std::string& key, const asio::yield_context& yield);

    /// Sends a statement.
    /// @return whether it could be sent
    bool send(const std::string& id, const std::string& text,
              const asio::yield_context& yield);

    /// Receives the answer to the statement that was sent last.
    outcome receive(const asio::yield_context& yield);

    void close();

    /// Port of this end.
    std::uint16_t local_port() const;

private:
    asio::ip::tcp::socket socket_;
    std::string input_;
};

/// A new id of a statement.
std::string new_id();

} // namespace tanagerhoist::review

#endif
