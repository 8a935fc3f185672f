// Commands that make one call, or repeat it until it succeeds.
#include "commands.hpp"
#include "fiber_sleep.hpp"
#include "tanagerhoist/adapter/json_codec.hpp"

#include <spdlog/spdlog.h>

#include <charconv>
#include <iostream>

namespace tanagerhoist::load
{
namespace
{

constexpr milliseconds call_timeout{15000};
constexpr milliseconds wait_poll_interval{50};

/// Splits ADDRESS:PORT; the port is 0 if the text is malformed.
endpoint parse_endpoint(const std::string& text)
{
    endpoint at;
    const auto colon = text.rfind(':');
    if (colon != std::string::npos)
    {
        at.address = text.substr(0, colon);
        std::from_chars(text.data() + colon + 1, text.data() + text.size(),
                        at.port);
    }
    return at;
}

exit_code print_exchange(command_context& context, const http_request& request)
{
    const auto answer = context.client.exchange(
        parse_endpoint(context.line.target), request, call_timeout);
    if (!answer)
    {
        std::cerr << "no answer from " << context.line.target << '\n';
        return exit_code::no_answer;
    }
    std::cout << answer->body << '\n';
    return exit_code::ok;
}

/// Whether `daemon` serves a read of `route` that only the primary may answer,
/// as the request names a session but carries no token.
bool can_serve(command_context& context, const endpoint& daemon,
               const proto::RouteSettings& route)
{
    proto::CallerRequest request;
    request.set_route(route.name());
    request.set_statement("GET none");
    request.set_session("wait");
    const auto key = context.fleet.keys.begin()->second;
    const auto reply = context.client.send(daemon, key, request, call_timeout);
    return reply && reply->code() == 0;
}

} // namespace

exit_code dump(command_context& context)
{
    return print_exchange(context, {"GET", "/dump", "", ""});
}

exit_code metrics(command_context& context)
{
    return print_exchange(context, {"GET", "/metrics", "", ""});
}

exit_code fault(command_context& context)
{
    return print_exchange(context, {"POST", "/fault", "", context.line.body});
}

exit_code ask(command_context& context)
{
    const auto& line = context.line;
    const auto* daemon = context.fleet.find_daemon(line.daemon);
    if (daemon == nullptr)
    {
        std::cerr << "no VM named " << line.daemon << '\n';
        return exit_code::usage;
    }
    proto::CallerRequest request;
    request.set_route(line.route);
    request.set_statement(line.statement);
    request.set_request_id(line.request_id);
    request.set_session(line.session);
    request.set_deadline_ms(line.deadline_ms);
    const auto reply =
        context.client.send(*daemon, line.key, request, call_timeout);
    if (!reply)
    {
        std::cerr << "no answer from " << line.daemon << '\n';
        return exit_code::no_answer;
    }
    std::cout << to_json(*reply) << '\n';
    return reply->code() == line.expected_code ? exit_code::ok
                                               : exit_code::violation;
}

exit_code wait(command_context& context)
{
    const auto deadline =
        std::chrono::steady_clock::now() + context.line.duration;
    if (context.fleet.keys.empty())
    {
        std::cerr << "wait needs --keys\n";
        return exit_code::usage;
    }
    for (const auto& daemon : context.fleet.daemons)
    {
        for (const auto& database : context.fleet.settings.database())
        {
            const auto* route =
                context.fleet.find_route(database.name(), &is_token_bound_read);
            while (route != nullptr && !can_serve(context, daemon, *route))
            {
                if (std::chrono::steady_clock::now() >= deadline)
                {
                    spdlog::error("{} does not serve {}", daemon.name,
                                  database.name());
                    return exit_code::no_answer;
                }
                sleep_for(context.io, wait_poll_interval);
            }
        }
    }
    return exit_code::ok;
}

} // namespace tanagerhoist::load
