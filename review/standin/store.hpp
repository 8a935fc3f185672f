#ifndef TANAGERHOIST_REVIEW_STANDIN_STORE_HPP
#define TANAGERHOIST_REVIEW_STANDIN_STORE_HPP

#include "http_service.hpp"

#include <boost/json/object.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace tanagerhoist::review
{

/// Row as the store keeps it; the value is in base64.
struct stored_row
{
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
};

/// Stand-in of the platform's metadata store, as PROTOCOL.md describes it, with
/// one part. It runs one transaction after another and can be slow.
class store
{
public:
    using key = std::pair<std::string, std::string>; ///< table and key

    /// Called for each row that a transaction has written or removed, after the
    /// transaction, and for each read of a table (with an empty key).
    struct observer
    {
        std::function<void(const key&, const stored_row&)> written;
        std::function<void(const std::string& table)> read;
    };

    store(const std::string& address, observer watch);

    std::string endpoint() const { return service_.endpoint(); }

    /// Writes a row as the operator or a server does; returns when it is
    /// acknowledged.
    void put(const key& where, const std::string& bytes);

    /// Makes all answers take this many times as long.
    void set_slowness(unsigned factor) { slowness_ = factor; }

    /// The store's steady clock.
    std::chrono::milliseconds now() const;

    std::map<key, stored_row> rows() const;

private:
    http_reply handle(const http_request& request);
    http_reply write(const std::string& body);
    http_reply read(const std::string& target);
    http_reply feed(const std::string& target);
    std::vector<key> apply(const boost::json::object& change);
    bool conflicts(const boost::json::object& change,
                   boost::json::object& answer) const;
    void finish(boost::json::object& answer) const;
    void wait_for_turn();
    void wait_for_answer() const;

    std::atomic<unsigned> slowness_{1};
    mutable std::mutex mutex_; ///< guards the rows
    std::mutex turn_;          ///< held by the transaction that runs
    std::condition_variable changed_;
    std::map<key, stored_row> rows_;
    std::uint64_t version_ = 0;
    std::chrono::steady_clock::time_point start_ =
        std::chrono::steady_clock::now();
    observer watch_;
    http_service service_; ///< last: its threads use the other members
};

/// Bytes that a base64 text stands for, and the reverse.
std::string decode_base64(const std::string& text);
std::string encode_base64(const std::string& bytes);

} // namespace tanagerhoist::review

#endif
