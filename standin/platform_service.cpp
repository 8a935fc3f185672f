#include "standin/platform_service.hpp"

#include "standin/json.hpp"

#include <spdlog/spdlog.h>

#include <utility>

namespace tanagerhoist::standin
{

platform_service::platform_service(boost::asio::io_context& context,
                                   const boost::asio::ip::tcp::endpoint& listen,
                                   const std::vector<proto::ListedVm>& listed)
    : context_(context),
      http_(context, listen, [](std::uint64_t /*connection*/) {})
{
    for (const auto& vm : listed)
    {
        platform_.list(clock_.now(), vm);
    }
    http_.route("/call",
                [this](const http_request& request, response_callback answer)
                { call(request, std::move(answer)); });
    http_.route("/fault", [this](const http_request& request,
                                 const response_callback& answer)
                { fault(request, answer); });
    http_.route("/dump",
                [this](const http_request& /*request*/,
                       const response_callback& answer) {
                    answer({200, to_json(platform_.dump())});
                });
}

void platform_service::call(const http_request& request,
                            response_callback answer)
{
    const auto call = from_json<proto::PlatformCall>(request.body);
    if (!call)
    {
        answer({400, "{}"});
        return;
    }
    const auto reply = platform_.handle(clock_.now(), *call);
    if (reply)
    {
        send_delayed({200, to_json(*reply)}, std::move(answer));
    }
}

void platform_service::send_delayed(http_response response,
                                    response_callback answer)
{
    if (platform_.delay().count() == 0)
    {
        answer(std::move(response));
        return;
    }
    const auto timer = delays_.emplace(delays_.end(), context_);
    timer->expires_after(platform_.delay());
    timer->async_wait(
        [this, timer, response = std::move(response),
         answer = std::move(answer)](const boost::system::error_code& error)
        {
            if (!error)
            {
                delays_.erase(timer);
                answer(response);
            }
        });
}

void platform_service::fault(const http_request& request,
                             const response_callback& answer)
{
    const auto fault = from_json<proto::standin::PlatformFault>(request.body);
    if (!fault)
    {
        answer({400, "{}"});
        return;
    }
    platform_.apply(clock_.now(), *fault);
    spdlog::info("faults changed: {}", request.body);
    answer({200, "{}"});
}

} // namespace tanagerhoist::standin
