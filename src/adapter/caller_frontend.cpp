#include "tanagerhoist/adapter/caller_frontend.hpp"

#include "tanagerhoist/adapter/json_codec.hpp"
#include "tanagerhoist/core/result_code.hpp"
#include "tanagerhoist/decision/authenticator.hpp"

#include <boost/fiber/fiber.hpp>

#include <chrono>
#include <string_view>
#include <utility>

namespace tanagerhoist
{
namespace
{

constexpr std::size_t body_limit = std::size_t{64} * 1024; // bytes
constexpr milliseconds read_timeout{5000};
constexpr milliseconds write_timeout{5000};
/// Handles hold the worker's index above this bit and a counter below it.
constexpr unsigned worker_bit_shift = 48;
constexpr std::string_view bearer_prefix = "Bearer ";

/// Result code for a request that could not be read.
result_code to_result_code(read_status status)
{
    switch (status)
    {
    case read_status::too_large:
        return result_code::request_too_large;
    case read_status::timed_out:
        return result_code::request_timeout;
    default:
        return result_code::malformed_request;
    }
}

} // namespace

struct caller_frontend::session
{
    session(std::uint64_t i, boost::asio::ip::tcp::socket socket)
        : id(i), stream(std::move(socket))
    {
    }
    std::uint64_t id;
    http_server_stream stream;
    bool busy = false;   ///< a fiber is serving it
    bool ending = false; ///< close after the current answer
};

caller_frontend::caller_frontend(std::uint64_t worker,
                                 const settings_snapshot& settings,
                                 metrics& counters, input_sink inputs)
    : worker_(worker),
      settings_(settings),
      metrics_(counters),
      inputs_(std::move(inputs))
{
}

caller_frontend::~caller_frontend() = default;

std::uint64_t caller_frontend::worker_of(std::uint64_t handle)
{
    return handle >> worker_bit_shift;
}

std::uint64_t caller_frontend::next_handle()
{
    return (worker_ << worker_bit_shift) | next_number_++;
}

void caller_frontend::accept(boost::asio::ip::tcp::socket socket)
{
    const auto id = next_handle();
    auto s = std::make_shared<session>(id, std::move(socket));
    sessions_.emplace(id, s);
    wait_for_request(s);
}

/// Waits for the next request without occupying a fiber.
void caller_frontend::wait_for_request(const session_ptr& s)
{
    s->busy = false;
    s->stream.wait_readable(
        [this, s](bool ok)
        {
            if (!ok || sessions_.count(s->id) == 0)
            {
                end_session(*s);
                return;
            }
            s->busy = true;
            boost::fibers::fiber([this, s] { serve(s); }).detach();
        });
}

void caller_frontend::serve(const session_ptr& s)
{
    bool keep = true;
    do
    {
        keep = serve_request(*s) && !s->ending && !closing_;
    } while (keep && s->stream.has_buffered());
    if (keep)
    {
        wait_for_request(s);
    }
    else
    {
        end_session(*s);
    }
}

bool caller_frontend::serve_request(session& s)
{
    http_request request;
    const auto status = s.stream.read(request, body_limit, read_timeout);
    if (status == read_status::closed)
    {
        return false;
    }
    bool keep = status == read_status::complete && request.keep_alive;
    const auto answer = dispatch(s, status, request, keep);
    keep = keep && !closing_ && !s.ending;
    return s.stream.write(answer, keep, write_timeout) && keep;
}

http_answer caller_frontend::dispatch(session& s, read_status status,
                                      const http_request& request, bool& keep)
{
    if (request.method == "GET" && request.target == "/metrics")
    {
        return {200, "text/plain; version=0.0.4", metrics_.text()};
    }
    proto::CallerArrived arrived;
    auto refused = result_code::ok;
    if (status != read_status::complete)
    {
        refused = to_result_code(status);
        keep = false;
    }
    else if (request.method != "POST" || request.target != "/v1/request" ||
             !from_json(request.body, *arrived.mutable_request()))
    {
        refused = result_code::malformed_request;
    }
    else if (!request.authorization.empty())
    {
        std::string_view key = request.authorization;
        key.remove_prefix(key.substr(0, bearer_prefix.size()) == bearer_prefix
                              ? bearer_prefix.size()
                              : 0);
        const auto found = settings_.read(
            [key](const settings_view* view)
            {
                return view == nullptr
                           ? authentication{result_code::settings_missing, {}}
                           : authenticate(*view, key);
            });
        refused = found.code;
        *arrived.mutable_principal() = found.principal;
    }
    arrived.set_refused(static_cast<std::uint32_t>(refused));
    return submit(s, std::move(arrived));
}

/// Posts the request to the decision layer and suspends the fiber until its
/// answer arrives.
http_answer caller_frontend::submit(session& s, proto::CallerArrived arrived)
{
    const auto began = std::chrono::steady_clock::now();
    const auto call = next_handle();
    boost::fibers::promise<proto::CallerReply> promise;
    auto answered = promise.get_future();
    pending_calls_[call] = &promise;
    arrived.set_call(call);
    arrived.set_caller(s.id);
    proto::Input input;
    *input.mutable_caller_arrived() = std::move(arrived);
    inputs_(std::move(input));
    const auto reply = answered.get();
    pending_calls_.erase(call);
    const auto code = static_cast<result_code>(reply.code());
    metrics_.count_answer(code, std::chrono::duration_cast<microseconds>(
                                    std::chrono::steady_clock::now() - began));
    http_answer answer;
    answer.status = info(code).http_status;
    answer.body = to_full_json(reply);
    return answer;
}

void caller_frontend::answer(std::uint64_t call, proto::CallerReply reply)
{
    const auto it = pending_calls_.find(call);
    if (it != pending_calls_.end())
    {
        it->second->set_value(std::move(reply));
    }
}

void caller_frontend::disconnect(std::uint64_t caller)
{
    const auto it = sessions_.find(caller);
    if (it == sessions_.end())
    {
        return;
    }
    const auto s = it->second;
    s->ending = true;
    if (!s->busy)
    {
        s->stream.close(); // the pending wait fails and ends the session
    }
}

void caller_frontend::close_idle()
{
    closing_ = true;
    for (const auto& [id, s] : sessions_)
    {
        if (!s->busy)
        {
            s->stream.close();
        }
    }
}

void caller_frontend::fail_pending()
{
    proto::CallerReply reply;
    const auto& row = info(result_code::outcome_unknown);
    reply.set_code(static_cast<std::uint32_t>(row.code));
    reply.set_message(std::string(row.message));
    reply.set_outcome(std::string(name(row.outcome)));
    for (const auto& [call, promise] : std::exchange(pending_calls_, {}))
    {
        promise->set_value(reply);
    }
    for (const auto& [id, s] : sessions_)
    {
        s->stream.close();
    }
}

void caller_frontend::end_session(session& s)
{
    s.stream.close();
    if (sessions_.erase(s.id) > 0)
    {
        proto::Input input;
        input.mutable_caller_gone()->set_caller(s.id);
        inputs_(std::move(input));
    }
}

} // namespace tanagerhoist
