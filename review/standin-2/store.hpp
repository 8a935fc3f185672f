#ifndef TANAGERHOIST_REVIEW_STORE_HPP
#define TANAGERHOIST_REVIEW_STORE_HPP

#include "record.hpp"

#include <boost/asio.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace tanagerhoist::review
{

namespace asio = boost::asio;

/// The platform's store of rows, and its call /failover, on one port each.
class platform
{
public:
    /// Orders a server to lead.
    /// @return HTTP status
    using promote = std::function<unsigned(const std::string& group,
                                           const std::string& server)>;

    platform(asio::io_context& context, record& events, promote order);

    std::uint16_t store_port() const;
    std::uint16_t duty_port() const;

    /// Writes a row as the operator or a server does.
    void put(const std::string& table, const std::string& key,
             const std::string& text);

private:
    struct row
    {
        std::string value; ///< base64
        std::uint64_t version = 0;
        bool removed = false;
    };

    struct reply
    {
        unsigned status = 200;
        std::string body;
    };

    using row_key = std::pair<std::string, std::string>; ///< table and key

    void accept(asio::ip::tcp::acceptor& acceptor);
    void serve(asio::ip::tcp::socket socket, const asio::yield_context& yield);
    reply answer(const std::string& target, const std::string& body,
                 const asio::yield_context& yield);
    reply transact(const boost::json::object& call);
    reply read(const std::string& target) const;
    reply feed(const std::string& target, const asio::yield_context& yield);
    boost::json::object begin() const;
    static boost::json::object encode(const row_key& key, const row& from);

    asio::io_context& context_;
    record& events_;
    promote order_;
    asio::ip::tcp::acceptor store_;
    asio::ip::tcp::acceptor duty_;
    std::map<row_key, row> rows_;
    std::uint64_t version_ = 0;
};

} // namespace tanagerhoist::review

#endif
