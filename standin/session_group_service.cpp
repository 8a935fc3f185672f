#include "standin/session_group_service.hpp"

#include "standin/base64.hpp"

#include <boost/json.hpp>
#include <spdlog/spdlog.h>

#include <charconv>
#include <optional>
#include <utility>

namespace tanagerhoist::standin
{
namespace
{

namespace json = boost::json;
using boost::system::error_code;

constexpr milliseconds store_timeout{2000};
constexpr milliseconds registration_retry{100};
const http_response malformed{400, "{}"};

std::vector<std::string> names(const session_group_options& options)
{
    std::vector<std::string> found;
    for (const auto& server : options.servers)
    {
        found.push_back(server.name);
    }
    return found;
}

std::optional<std::uint64_t> whole_number(const std::string& text)
{
    std::uint64_t number = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end)
    {
        return std::nullopt;
    }
    return number;
}

/// A header's value; empty if absent.
std::string header(const http_request& request, const std::string& name)
{
    const auto found = request.headers.find(name);
    return found == request.headers.end() ? std::string() : found->second;
}

/// The request of a call; nothing if it is malformed.
std::optional<promotion_order> decode_order(const http_request& request,
                                            const std::string& group)
{
    error_code error;
    const auto body = json::parse(request.body, error);
    const auto token = whole_number(header(request, "Fencing-Token"));
    const auto holder = header(request, "Duty-Holder");
    const auto* fields = body.if_object();
    const auto* subject =
        fields != nullptr ? fields->if_contains("backend") : nullptr;
    const auto* server =
        fields != nullptr ? fields->if_contains("id") : nullptr;
    if (error || subject == nullptr || *subject != json::string(group) ||
        server == nullptr || !server->is_string() || !token || holder.empty())
    {
        return std::nullopt;
    }
    return promotion_order{holder, *token, std::string(server->as_string())};
}

} // namespace

session_group_service::session_group_service(
    boost::asio::io_context& context, const session_group_options& options)
    : context_(context),
      group_(options.name, names(options)),
      control_{options.control_time, options.repeated_after,
               [this](const std::string& server, const std::string& command)
               { command_arrived(server, command); }},
      promotion_time_(options.promotion_time),
      store_(context, options.store, store_timeout),
      registration_timer_(context),
      http_(context, options.listen, [](std::uint64_t /*connection*/) {})
{
    for (const auto& server : options.servers)
    {
        servers_.push_back(std::make_unique<session_server>(
            context, server.listen, server.name, group_, control_));
    }
    add_routes();
    register_servers();
}

void session_group_service::add_routes()
{
    http_.route("/failover", [this](const http_request& request,
                                    const response_callback& answer)
                { fail_over(request, answer); });
    http_.route("/control-time", [this](const http_request& request,
                                        const response_callback& answer)
                { set_control_time(request, answer); });
    http_.route("/order-delay", [this](const http_request& request,
                                       const response_callback& answer)
                { set_order_delay(request, answer); });
    http_.route("/received",
                [this](const http_request&, const response_callback& answer) {
                    answer({200, std::to_string(received_) + '\n'});
                });
    http_.route("/commands",
                [this](const http_request&, const response_callback& answer) {
                    answer({200, std::to_string(commands_) + '\n'});
                });
    http_.route("/next-command",
                [this](const http_request&, response_callback answer)
                { awaiting_command_.push_back(std::move(answer)); });
    http_.route("/orders",
                [this](const http_request&, const response_callback& answer)
                {
                    std::string text;
                    for (const auto& order : record_.orders())
                    {
                        text += to_text(order) + '\n';
                    }
                    answer({200, text});
                });
    http_.route("/violations",
                [this](const http_request&, const response_callback& answer)
                {
                    std::string text;
                    for (const auto& violation : record_.violations())
                    {
                        text += violation + '\n';
                    }
                    text += std::to_string(record_.violations().size()) +
                            " violations\n";
                    answer({200, text});
                });
    add_change("/drain", &session_group::drain_primary);
    add_change("/silence", &session_group::silence_primary);
    add_change("/recover", &session_group::recover);
}

void session_group_service::add_change(const std::string& path,
                                       void (session_group::*change)())
{
    http_.route(path,
                [this, path, change](const http_request&,
                                     const response_callback& answer)
                {
                    (group_.*change)();
                    spdlog::info("{}", path);
                    register_servers();
                    answer({200, "{}"});
                });
}

void session_group_service::command_arrived(const std::string& server,
                                            const std::string& command)
{
    ++commands_;
    const auto text = server + ' ' + command;
    spdlog::info("{}", text);
    for (const auto& answer : std::exchange(awaiting_command_, {}))
    {
        answer({200, text + '\n'});
    }
}

void session_group_service::set_control_time(const http_request& request,
                                             const response_callback& answer)
{
    const auto number = whole_number(request.body);
    if (!number)
    {
        answer(malformed);
        return;
    }
    control_.duration = milliseconds(*number);
    spdlog::info("control commands take {} ms", *number);
    answer({200, "{}"});
}

void session_group_service::set_order_delay(const http_request& request,
                                            const response_callback& answer)
{
    const auto number = whole_number(request.body);
    if (!number)
    {
        answer(malformed);
        return;
    }
    order_delay_ = milliseconds(*number);
    spdlog::info("the next order is read {} ms late", *number);
    answer({200, "{}"});
}

/// Reads an order, late if that is set for it. The caller may be gone by then.
void session_group_service::fail_over(const http_request& request,
                                      const response_callback& answer)
{
    const auto order = decode_order(request, group_.name());
    if (!order)
    {
        answer(malformed);
        return;
    }
    ++received_;
    spdlog::info("received: {}", to_text(*order));
    const auto delay = std::exchange(order_delay_, milliseconds(0));
    if (delay == milliseconds(0))
    {
        follow(*order, answer);
        return;
    }
    run_later(delay, [this, order = *order, answer] { follow(order, answer); });
}

void session_group_service::follow(const promotion_order& order,
                                   const response_callback& answer)
{
    record_.add(order);
    spdlog::info("{}", to_text(order));
    for (const auto& server : servers_)
    {
        if (server->id() == order.server && group_.responds(server->id()))
        {
            promote_later(order.server);
            answer({200, "{}"});
            return;
        }
    }
    answer({409, "{}"});
}

void session_group_service::promote_later(const std::string& server)
{
    run_later(promotion_time_,
              [this, server]
              {
                  if (group_.promote(server))
                  {
                      spdlog::info("{} is primary", server);
                      register_servers();
                  }
              });
}

void session_group_service::run_later(milliseconds time,
                                      std::function<void()> work)
{
    const auto timer = timers_.emplace(timers_.end(), context_);
    timer->expires_after(time);
    timer->async_wait(
        [this, timer, work = std::move(work)](error_code error)
        {
            if (error)
            {
                return;
            }
            timers_.erase(timer);
            work();
        });
}

/// Writes the rows of all servers; again if they change meanwhile, or the store
/// does not answer.
void session_group_service::register_servers()
{
    if (store_.busy())
    {
        changed_ = true;
        return;
    }
    changed_ = false;
    json::array rows;
    for (const auto& server : servers_)
    {
        const auto entry = group_.entry(server->id(), server->address());
        rows.emplace_back(json::object{{"table", "servers"},
                                       {"part", ""},
                                       {"key", server->id()},
                                       {"value", encode_bytes(entry)}});
    }
    store_.post("/api/rows-tx",
                json::serialize(json::object{{"puts", std::move(rows)}}),
                [this](const std::optional<std::string>& answer)
                {
                    if (!answer)
                    {
                        register_later();
                    }
                    else if (changed_)
                    {
                        register_servers();
                    }
                });
}

void session_group_service::register_later()
{
    registration_timer_.expires_after(registration_retry);
    registration_timer_.async_wait(
        [this](error_code error)
        {
            if (!error)
            {
                register_servers();
            }
        });
}

} // namespace tanagerhoist::standin
