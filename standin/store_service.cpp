#include "standin/store_service.hpp"

#include "standin/base64.hpp"

#include <boost/json.hpp>

#include <charconv>
#include <utility>

namespace tanagerhoist::standin
{
namespace
{

namespace json = boost::json;

constexpr std::size_t page_rows = 500;

/// Decodes `%NN`; leaves others as they are.
std::string decode_parameter(const std::string& text)
{
    constexpr std::size_t digits = 2;
    constexpr int base = 16;
    std::string value;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        unsigned byte = 0;
        const auto* first = text.data() + i + 1;
        const bool encoded =
            text[i] == '%' && i + digits < text.size() &&
            std::from_chars(first, first + digits, byte, base).ptr ==
                first + digits;
        value += encoded ? static_cast<char>(byte) : text[i];
        i += encoded ? digits : 0;
    }
    return value;
}

/// Value of a parameter of a query; empty if absent.
std::string parameter(const std::string& target, const std::string& name)
{
    auto begin = target.find('?');
    while (begin != std::string::npos)
    {
        const auto end = target.find('&', begin + 1);
        const auto pair = target.substr(begin + 1, end - begin - 1);
        if (pair.rfind(name + "=", 0) == 0)
        {
            return decode_parameter(pair.substr(name.size() + 1));
        }
        begin = end;
    }
    return {};
}

std::uint64_t number_parameter(const std::string& target,
                               const std::string& name)
{
    const auto text = parameter(target, name);
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

std::string text_of(const json::object& object, const char* field)
{
    const auto* value = object.if_contains(field);
    return value != nullptr ? std::string(value->as_string()) : std::string();
}

std::vector<store_row> decode_rows(const json::object& body, const char* field)
{
    std::vector<store_row> rows;
    const auto* list = body.if_contains(field);
    if (list == nullptr)
    {
        return rows;
    }
    for (const auto& entry : list->as_array())
    {
        const auto& object = entry.as_object();
        const auto* version = object.if_contains("ver");
        rows.push_back(
            {text_of(object, "table"), text_of(object, "key"),
             decode_bytes(text_of(object, "value")),
             version != nullptr ? version->to_number<std::uint64_t>() : 0,
             false});
    }
    return rows;
}

unsigned status_of(store_result result)
{
    constexpr unsigned ok = 200;
    constexpr unsigned gone = 410;
    constexpr unsigned conflict = 412;
    return result == store_result::done       ? ok
           : result == store_result::conflict ? conflict
                                              : gone;
}

} // namespace

store_service::store_service(boost::asio::io_context& context,
                             const boost::asio::ip::tcp::endpoint& listen,
                             milliseconds transaction_time)
    : context_(context),
      transaction_time_(transaction_time),
      write_timer_(context),
      http_(context, listen, [](std::uint64_t) {})
{
    const auto counted = [this](auto member)
    {
        return [this, member](const http_request& request,
                              response_callback answer)
        {
            ++calls_;
            (this->*member)(request, std::move(answer));
        };
    };
    http_.route("/api/rows-tx", counted(&store_service::write));
    http_.route("/api/rows-get", counted(&store_service::read));
    http_.route("/api/rows-feed", counted(&store_service::watch));
    http_.route("/copy",
                [this](const http_request&, const response_callback& answer)
                {
                    rows_.take_copy();
                    answer({200, "{}"});
                });
    http_.route("/restore",
                [this](const http_request&, const response_callback& answer)
                { restore(answer); });
    http_.route("/calls",
                [this](const http_request&, const response_callback& answer) {
                    answer({200, std::to_string(calls_)});
                });
}

http_response store_service::encode(const store_answer& answer) const
{
    json::array rows;
    for (const auto& row : answer.rows)
    {
        json::object entry{{"table", row.table},
                           {"part", ""},
                           {"key", row.key},
                           {"value", encode_bytes(row.value)},
                           {"ver", row.version}};
        if (row.removed)
        {
            entry["removed"] = true;
        }
        rows.emplace_back(std::move(entry));
    }
    const json::object body{{"rows", std::move(rows)},
                            {"ver", answer.version},
                            {"nowMs", to_ms(clock_.now().time_since_epoch())},
                            {"truncated", answer.truncated}};
    return {status_of(answer.result),
            json::serialize(body),
            {{"Store-Era", std::to_string(rows_.era())}}};
}

void store_service::write(const http_request& request, response_callback answer)
{
    boost::system::error_code error;
    const auto body = json::parse(request.body, error);
    if (error || !body.is_object())
    {
        answer({400, "{}"});
        return;
    }
    store_transaction transaction;
    transaction.expected = decode_rows(body.as_object(), "expectedRev");
    transaction.puts = decode_rows(body.as_object(), "puts");
    transaction.removals = decode_rows(body.as_object(), "remove");
    writes_.push_back({std::move(transaction), std::move(answer)});
    if (writes_.size() == 1)
    {
        run_next_write();
    }
}

/// Runs the first of the waiting transactions, and then the others.
void store_service::run_next_write()
{
    write_timer_.expires_after(transaction_time_);
    write_timer_.async_wait(
        [this](boost::system::error_code error)
        {
            if (error)
            {
                return;
            }
            const auto done = std::move(writes_.front());
            writes_.pop_front();
            done.answer(encode(rows_.write(done.transaction)));
            answer_changed_watches();
            if (!writes_.empty())
            {
                run_next_write();
            }
        });
}

void store_service::read(const http_request& request,
                         const response_callback& answer)
{
    answer(encode(rows_.read(parameter(request.target, "table"),
                             parameter(request.target, "from"), page_rows)));
}

void store_service::watch(const http_request& request, response_callback answer)
{
    const milliseconds wait(number_parameter(request.target, "waitMs"));
    const auto entry = watches_.insert(
        watches_.end(),
        {parameter(request.target, "table"),
         number_parameter(request.target, "after"), std::move(answer),
         boost::asio::steady_timer(context_, wait)});
    entry->timer.async_wait(
        [this, entry](boost::system::error_code error)
        {
            if (!error)
            {
                end_watch(entry);
            }
        });
    answer_changed_watches();
}

void store_service::answer_changed_watches()
{
    for (auto it = watches_.begin(); it != watches_.end();)
    {
        const auto entry = it++;
        const auto news = rows_.changes(entry->table, entry->version);
        if (news.result != store_result::done || !news.rows.empty())
        {
            end_watch(entry);
        }
    }
}

void store_service::end_watch(watch_list::iterator watch)
{
    watch->answer(encode(rows_.changes(watch->table, watch->version)));
    watches_.erase(watch);
}

/// Waiting watches are closed without an answer, as the store was away.
void store_service::restore(const response_callback& answer)
{
    watches_.clear();
    rows_.restore();
    answer({200, "{}"});
}

} // namespace tanagerhoist::standin
