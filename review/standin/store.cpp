#include "store.hpp"

#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>

#include <charconv>
#include <thread>

namespace tanagerhoist::review
{
namespace
{

namespace json = boost::json;
namespace base64 = boost::beast::detail::base64;
using std::chrono::milliseconds;

// Of the site files: partWritesS, txMs, and the time of other answers.
constexpr std::chrono::microseconds turn_time{1000000 / 150};
constexpr milliseconds transaction_time{8};
constexpr milliseconds answer_time{4};

constexpr unsigned status_conflict = 412;
constexpr unsigned status_unknown = 404;

/// Value of a parameter of a query; empty if absent.
std::string parameter(const std::string& target, const std::string& name)
{
    const auto found = target.find(name + '=');
    if (found == std::string::npos)
    {
        return {};
    }
    const auto begin = found + name.size() + 1;
    return target.substr(begin, target.find('&', begin) - begin);
}

std::uint64_t number_parameter(const std::string& target,
                               const std::string& name)
{
    const auto text = parameter(target, name);
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

std::string text_of(const json::object& entry, const char* name)
{
    const auto* value = entry.if_contains(name);
    return value == nullptr ? std::string()
                            : json::value_to<std::string>(*value);
}

store::key key_of(const json::object& entry)
{
    return {text_of(entry, "table"), text_of(entry, "key")};
}

json::object encode(const store::key& key, const stored_row& row)
{
    json::object entry{{"table", key.first},
                       {"part", ""},
                       {"key", key.second},
                       {"value", row.value},
                       {"ver", row.version}};
    if (row.removed)
    {
        entry["removed"] = true;
    }
    return entry;
}

const json::array& list_of(const json::object& change, const char* name)
{
    static const json::array none;
    const auto* value = change.if_contains(name);
    return value == nullptr ? none : value->as_array();
}

} // namespace

std::string decode_base64(const std::string& text)
{
    std::string bytes(base64::decoded_size(text.size()), '\0');
    bytes.resize(base64::decode(bytes.data(), text.data(), text.size()).first);
    return bytes;
}

std::string encode_base64(const std::string& bytes)
{
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

store::store(const std::string& address, observer watch)
    : watch_(std::move(watch)),
      service_(address,
               [this](const http_request& request) { return handle(request); })
{
}

milliseconds store::now() const
{
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::steady_clock::now() - start_);
}

std::map<store::key, stored_row> store::rows() const
{
    const std::lock_guard lock(mutex_);
    return rows_;
}

void store::put(const key& where, const std::string& bytes)
{
    const json::object row{{"table", where.first},
                           {"key", where.second},
                           {"value", encode_base64(bytes)}};
    write(json::serialize(json::object{{"puts", json::array{row}}}));
}

http_reply store::handle(const http_request& request)
{
    const std::string target(request.target());
    const auto path = target.substr(0, target.find('?'));
    if (path == "/api/rows-tx")
    {
        return write(request.body());
    }
    if (path == "/api/rows-get")
    {
        return read(target);
    }
    if (path == "/api/rows-feed")
    {
        return feed(target);
    }
    return {status_unknown, "{}"};
}

/// Takes the time of a transaction. A part begins one after another.
void store::wait_for_turn()
{
    {
        const std::lock_guard turn(turn_);
        std::this_thread::sleep_for(turn_time);
    }
    std::this_thread::sleep_for(transaction_time * slowness_.load() -
                                turn_time);
}

void store::wait_for_answer() const
{
    std::this_thread::sleep_for(answer_time * slowness_.load());
}

void store::finish(json::object& answer) const
{
    answer["ver"] = version_;
    answer["nowMs"] = now().count();
}

bool store::conflicts(const json::object& change, json::object& answer) const
{
    json::array rows;
    bool found = false;
    for (const auto& value : list_of(change, "expectedRev"))
    {
        const auto& entry = value.as_object();
        const auto key = key_of(entry);
        const auto it = rows_.find(key);
        const bool exists = it != rows_.end() && !it->second.removed;
        const auto present = exists ? it->second : stored_row{};
        rows.emplace_back(encode(key, present));
        found = found ||
                present.version != entry.at("ver").to_number<std::uint64_t>();
    }
    answer["rows"] = std::move(rows);
    return found;
}

std::vector<store::key> store::apply(const json::object& change)
{
    ++version_;
    std::vector<key> written;
    for (const auto& value : list_of(change, "puts"))
    {
        const auto& entry = value.as_object();
        written.push_back(key_of(entry));
        rows_[written.back()] = {text_of(entry, "value"), version_, false};
    }
    for (const auto& value : list_of(change, "remove"))
    {
        written.push_back(key_of(value.as_object()));
        rows_[written.back()] = {"", version_, true};
    }
    return written;
}

http_reply store::write(const std::string& body)
{
    const auto parsed = json::parse(body);
    const auto& change = parsed.as_object();
    wait_for_turn();
    json::object answer;
    std::vector<std::pair<key, stored_row>> written;
    http_reply reply;
    {
        const std::lock_guard lock(mutex_);
        if (conflicts(change, answer))
        {
            reply.status = status_conflict;
        }
        else
        {
            answer.clear();
            for (const auto& key : apply(change))
            {
                written.emplace_back(key, rows_[key]);
            }
        }
        finish(answer);
    }
    changed_.notify_all();
    for (const auto& [key, row] : written)
    {
        watch_.written(key, row);
    }
    reply.body = json::serialize(answer);
    return reply;
}

http_reply store::read(const std::string& target)
{
    const auto table = parameter(target, "table");
    const auto from = parameter(target, "from");
    json::object answer;
    {
        const std::lock_guard lock(mutex_);
        json::array rows;
        for (const auto& [key, row] : rows_)
        {
            if (key.first == table && key.second >= from && !row.removed)
            {
                rows.emplace_back(encode(key, row));
            }
        }
        answer["rows"] = std::move(rows);
        answer["truncated"] = false;
        finish(answer);
    }
    watch_.read(table);
    wait_for_answer();
    return {200, json::serialize(answer)};
}

http_reply store::feed(const std::string& target)
{
    const auto table = parameter(target, "table");
    const auto after = number_parameter(target, "after");
    const milliseconds wait(number_parameter(target, "waitMs"));
    json::object answer;
    {
        std::unique_lock lock(mutex_);
        json::array rows;
        const auto collect = [&]
        {
            rows.clear();
            for (const auto& [key, row] : rows_)
            {
                if (key.first == table && row.version > after)
                {
                    rows.emplace_back(encode(key, row));
                }
            }
            return !rows.empty();
        };
        changed_.wait_for(lock, wait, collect);
        answer["rows"] = std::move(rows);
        finish(answer);
    }
    wait_for_answer();
    return {200, json::serialize(answer)};
}

} // namespace tanagerhoist::review
