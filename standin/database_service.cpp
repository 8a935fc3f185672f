#include "standin/database_service.hpp"

#include "standin/json.hpp"

#include <spdlog/spdlog.h>

#include <utility>

namespace tanagerhoist::standin
{

namespace
{

constexpr milliseconds tick_interval{5};
constexpr milliseconds peer_timeout{1000};
const http_response malformed{400, "{}"};

} // namespace

database_service::database_service(boost::asio::io_context& context,
                                   database_service_options options)
    : options_(std::move(options)),
      server_(options_.name, options_.group),
      slots_(context, options_.slots, options_.statement_time),
      context_(context),
      timer_(context),
      http_(context, options_.listen,
            [this](std::uint64_t connection)
            { server_.connection_closed(connection); })
{
    promote_as_initial_primary();
    add_routes();
    tick();
}

void database_service::promote_as_initial_primary()
{
    if (!options_.primary)
    {
        return;
    }
    proto::DatabaseCall seal;
    seal.mutable_seal()->set_term(1);
    server_.handle(clock_.now(), 0, seal);
    proto::DatabaseCall promote;
    promote.mutable_promote()->set_term(1);
    server_.handle(clock_.now(), 0, promote);
}

void database_service::add_routes()
{
    using member = void (database_service::*)(const http_request&,
                                              const response_callback&);
    const auto deferrable = [this](member run)
    {
        return [this, run](http_request request, response_callback answer)
        {
            run_unless_frozen([this, run, request = std::move(request),
                               answer = std::move(answer)]
                              { (this->*run)(request, answer); });
        };
    };
    http_.route("/call", deferrable(&database_service::call));
    http_.route("/replicate", deferrable(&database_service::replicate));
    http_.route("/fault", [this](const http_request& request,
                                 const response_callback& answer)
                { fault(request, answer); });
    http_.route("/dump",
                [this](const http_request& /*request*/,
                       const response_callback& answer) { dump(answer); });
}

void database_service::connect(const std::string& server,
                               const boost::asio::ip::tcp::endpoint& address)
{
    peers_[server] =
        std::make_unique<http_client>(context_, address, peer_timeout);
}

void database_service::run_unless_frozen(std::function<void()> work)
{
    // A frozen process handles the requests received meanwhile when it
    // resumes.
    if (frozen_)
    {
        deferred_.push_back(std::move(work));
        return;
    }
    work();
}

void database_service::call(const http_request& request,
                            const response_callback& answer)
{
    const auto call = from_json<proto::DatabaseCall>(request.body);
    if (!call)
    {
        answer(malformed);
        return;
    }
    const auto run =
        [this, call = *call, connection = request.connection, answer]
    {
        const auto reply = server_.handle(clock_.now(), connection, call);
        answer({200, to_json(reply)});
        replicate_and_answer();
    };
    switch (call->call_case())
    {
    case proto::DatabaseCall::kExecute:
        slots_.run([this, run] { run_unless_frozen(run); });
        break;
    case proto::DatabaseCall::kStatus:
        queue_status_call(*call, answer);
        break;
    default:
        run();
        break;
    }
}

void database_service::queue_status_call(const proto::DatabaseCall& call,
                                         response_callback answer)
{
    const milliseconds wait(call.status().wait_ms());
    waiting_.push_back({call, clock_.now() + wait, std::move(answer)});
    answer_waiting_calls();
}

void database_service::answer_waiting_calls()
{
    const auto now = clock_.now();
    for (auto it = waiting_.begin(); it != waiting_.end();)
    {
        if (server_.holds(it->call.status().await()) || now >= it->deadline)
        {
            it->answer({200, to_json(server_.handle(now, 0, it->call))});
            it = waiting_.erase(it);
        }
        else
        {
            ++it;
        }
    }
}

void database_service::replicate(const http_request& request,
                                 const response_callback& answer)
{
    const auto message =
        from_json<proto::standin::ReplicateMessage>(request.body);
    if (!message)
    {
        answer(malformed);
        return;
    }
    if (cut_.count(message->from()) != 0)
    {
        return;
    }
    answer(
        {200, to_json(server_.receive(clock_.now(), *message, options_.lag))});
    answer_waiting_calls();
}

void database_service::fault(const http_request& request,
                             const response_callback& answer)
{
    const auto fault = from_json<proto::standin::DatabaseFault>(request.body);
    if (!fault)
    {
        answer(malformed);
        return;
    }
    frozen_ = fault->frozen();
    cut_ = {fault->cut_from().begin(), fault->cut_from().end()};
    spdlog::info("faults changed: {}", request.body);
    answer({200, "{}"});
    if (!frozen_)
    {
        for (const auto& work : std::exchange(deferred_, {}))
        {
            work();
        }
    }
}

void database_service::dump(const response_callback& answer) const
{
    proto::standin::DatabaseDump dump;
    dump.set_name(options_.name);
    dump.set_primary(server_.primary());
    dump.set_sealed_term(server_.sealed_term());
    for (std::uint64_t at = 1; at <= server_.log().size(); ++at)
    {
        *dump.add_entry() = server_.log().at(at);
    }
    const auto& store = server_.log().store();
    dump.mutable_store()->insert(store.begin(), store.end());
    answer({200, to_json(dump)});
}

void database_service::replicate_and_answer()
{
    push_all();
    answer_waiting_calls();
}

void database_service::push_all()
{
    for (const auto& [replica, client] : peers_)
    {
        push(replica, *client);
    }
}

void database_service::push(const std::string& replica, http_client& client)
{
    if (frozen_ || client.busy() || cut_.count(replica) != 0)
    {
        return;
    }
    const auto message = server_.next_message_for(replica, clock_.now());
    if (!message)
    {
        return;
    }
    client.post("/replicate", to_json(*message),
                [this, replica, &client](const std::optional<std::string>& body)
                {
                    const auto ack = from_json<proto::standin::ReplicateAck>(
                        body.value_or("malformed"));
                    if (ack && !frozen_ && cut_.count(replica) == 0)
                    {
                        server_.acknowledged(clock_.now(), *ack);
                        push(replica, client);
                    }
                });
}

void database_service::tick()
{
    if (!frozen_)
    {
        server_.advance(clock_.now());
        replicate_and_answer();
    }
    timer_.expires_after(tick_interval);
    timer_.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (!error)
            {
                tick();
            }
        });
}

} // namespace tanagerhoist::standin
