#include "store.hpp"

#include <boost/asio/detached.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>

namespace tanagerhoist::review
{
namespace
{

namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
namespace base64 = boost::beast::detail::base64;
using asio::ip::tcp;

constexpr milliseconds transaction_time{8};
constexpr milliseconds read_time{4};
constexpr milliseconds feed_check{5};
constexpr unsigned status_conflict = 412;
constexpr unsigned status_not_found = 404;

std::string encode_base64(const std::string& bytes)
{
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

/// Value of a parameter in a target; keys used here need no decoding.
std::string parameter(const std::string& target, const std::string& name)
{
    const auto at =
        std::min(target.find('?' + name + '='), target.find('&' + name + '='));
    if (at == std::string::npos)
    {
        return {};
    }
    const auto begin = at + name.size() + 2;
    return target.substr(begin, target.find('&', begin) - begin);
}

std::uint64_t number(const std::string& text)
{
    return text.empty() ? 0 : std::stoull(text);
}

std::string text_of(const json::object& from, const char* name)
{
    return std::string(from.at(name).as_string());
}

tcp::endpoint any_port()
{
    return {asio::ip::make_address("127.0.0.1"), 0};
}

} // namespace

platform::platform(asio::io_context& context, record& events, promote order)
    : context_(context),
      events_(events),
      order_(std::move(order)),
      store_(context, any_port()),
      duty_(context, any_port())
{
    accept(store_);
    accept(duty_);
}

std::uint16_t platform::store_port() const
{
    return store_.local_endpoint().port();
}

std::uint16_t platform::duty_port() const
{
    return duty_.local_endpoint().port();
}

void platform::put(const std::string& table, const std::string& key,
                   const std::string& text)
{
    rows_[{table, key}] = {encode_base64(text), ++version_, false};
}

void platform::accept(tcp::acceptor& acceptor)
{
    acceptor.async_accept(
        [this, &acceptor](const boost::system::error_code& error,
                          tcp::socket socket)
        {
            if (error)
            {
                return;
            }
            asio::spawn(
                context_,
                [this, socket = std::move(socket)](
                    const asio::yield_context& yield) mutable
                { serve(std::move(socket), yield); },
                asio::detached);
            accept(acceptor);
        });
}

void platform::serve(tcp::socket socket, const asio::yield_context& yield)
{
    beast::tcp_stream stream(std::move(socket));
    stream.socket().set_option(tcp::no_delay(true));
    beast::flat_buffer buffer;
    try
    {
        for (;;)
        {
            http::request<http::string_body> request;
            http::async_read(stream, buffer, request, yield);
            const auto made =
                answer(std::string(request.target()), request.body(), yield);
            http::response<http::string_body> response(
                http::int_to_status(made.status), 11);
            response.set(http::field::content_type, "application/json");
            response.body() = made.body;
            response.prepare_payload();
            http::async_write(stream, response, yield);
        }
    }
    catch (const std::exception&)
    {
        // The caller has closed the connection.
    }
}

platform::reply platform::answer(const std::string& target,
                                 const std::string& body,
                                 const asio::yield_context& yield)
{
    asio::steady_timer timer(context_);
    if (target.rfind("/api/rows-tx", 0) == 0)
    {
        timer.expires_after(transaction_time);
        timer.async_wait(yield);
        return transact(json::parse(body).as_object());
    }
    if (target.rfind("/api/rows-get", 0) == 0)
    {
        timer.expires_after(read_time);
        timer.async_wait(yield);
        return read(target);
    }
    if (target.rfind("/api/rows-feed", 0) == 0)
    {
        return feed(target, yield);
    }
    if (target == "/failover")
    {
        const auto call = json::parse(body).as_object();
        events_.write("platform", "failover " + body);
        return {order_(text_of(call, "backend"), text_of(call, "id")), "{}"};
    }
    return {status_not_found, "{}"};
}

json::object platform::begin() const
{
    const auto clock =
        std::chrono::duration_cast<milliseconds>(now().time_since_epoch());
    return {{"ver", version_}, {"nowMs", clock.count()}};
}

json::object platform::encode(const row_key& key, const row& from)
{
    json::object made{{"table", key.first},
                      {"part", ""},
                      {"key", key.second},
                      {"ver", from.version}};
    if (from.removed)
    {
        made["removed"] = true;
    }
    else
    {
        made["value"] = from.value;
    }
    return made;
}

platform::reply platform::transact(const json::object& call)
{
    json::array present;
    bool conflict = false;
    for (const auto& entry : call.at("expectedRev").as_array())
    {
        const auto& wanted = entry.as_object();
        const row_key key{text_of(wanted, "table"), text_of(wanted, "key")};
        const auto found = rows_.find(key);
        const bool exists = found != rows_.end() && !found->second.removed;
        const auto version = exists ? found->second.version : 0;
        conflict =
            conflict || version != wanted.at("ver").to_number<std::uint64_t>();
        present.push_back(encode(key, exists ? found->second : row{}));
    }
    if (conflict)
    {
        auto body = begin();
        body["rows"] = std::move(present);
        return {status_conflict, json::serialize(body)};
    }
    ++version_;
    for (const auto& entry : call.at("puts").as_array())
    {
        const auto& put = entry.as_object();
        rows_[{text_of(put, "table"), text_of(put, "key")}] = {
            text_of(put, "value"), version_, false};
    }
    for (const auto& entry : call.at("remove").as_array())
    {
        const auto& gone = entry.as_object();
        rows_[{text_of(gone, "table"), text_of(gone, "key")}] = {"", version_,
                                                                 true};
    }
    return {200, json::serialize(begin())};
}

platform::reply platform::read(const std::string& target) const
{
    auto body = begin();
    const auto table = parameter(target, "table");
    json::array found;
    for (const auto& [key, kept] : rows_)
    {
        if (key.first == table && !kept.removed)
        {
            found.push_back(encode(key, kept));
        }
    }
    body["rows"] = std::move(found);
    body["truncated"] = false;
    return {200, json::serialize(body)};
}

platform::reply platform::feed(const std::string& target,
                               const asio::yield_context& yield)
{
    const auto table = parameter(target, "table");
    const auto after = number(parameter(target, "after"));
    const auto until =
        now() + milliseconds(number(parameter(target, "waitMs")));
    asio::steady_timer timer(context_);
    for (;;)
    {
        std::vector<std::pair<row_key, row>> changed;
        for (const auto& [key, kept] : rows_)
        {
            if (key.first == table && kept.version > after)
            {
                changed.emplace_back(key, kept);
            }
        }
        if (!changed.empty() || now() >= until)
        {
            std::sort(changed.begin(), changed.end(),
                      [](const auto& one, const auto& other)
                      { return one.second.version < other.second.version; });
            auto body = begin();
            json::array rows;
            for (const auto& [key, kept] : changed)
            {
                rows.push_back(encode(key, kept));
            }
            body["rows"] = std::move(rows);
            return {200, json::serialize(body)};
        }
        timer.expires_after(feed_check);
        timer.async_wait(yield);
    }
}

} // namespace tanagerhoist::review
