// Runs one session step by step and checks the result of each step.
#include "commands.hpp"
#include "dumps.hpp"
#include "fiber_sleep.hpp"
#include "tanagerhoist/adapter/json_codec.hpp"
#include "tanagerhoist/core/result_code.hpp"

#include <boost/fiber/fiber.hpp>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <set>

namespace tanagerhoist::load
{
namespace
{

constexpr milliseconds call_timeout{15000};
constexpr std::size_t min_daemons = 3;
constexpr int max_attempts = 20; // per request, while it is answered "not run"

std::uint32_t to_number(result_code code)
{
    return static_cast<std::uint32_t>(code);
}

/// Steps of the command, and the state that they share.
class session_scenario
{
public:
    explicit session_scenario(command_context& context);

    bool write();
    bool read_through_other_daemons();
    bool repeat_write();
    bool use_wrong_key();
    bool exceed_rate();
    bool check_primary_log();

private:
    /// Prints the result of a check and returns it.
    bool check(bool passed, const std::string& text) const;
    proto::CallerReply ask(const endpoint& daemon, const std::string& key,
                           const proto::CallerRequest& request);
    proto::CallerRequest booking_request(const std::string& id) const;
    void send_burst(std::uint64_t count);

    command_context& context_;
    const proto::WorkspaceSettings*
        workspace_; ///< the one with the lowest rate
    const proto::RouteSettings* write_route_ = nullptr;
    const proto::RouteSettings* read_route_ = nullptr;
    std::string database_;
    std::string key_;
    std::string id_prefix_; ///< makes request ids unique across runs
    proto::SessionToken token_;
    std::set<std::string> served_ids_;
    std::vector<std::string> refused_ids_;
    proto::CallerReply last_refusal_;
};

session_scenario::session_scenario(command_context& context)
    : context_(context),
      workspace_(&*std::min_element(context.fleet.settings.workspace().begin(),
                                    context.fleet.settings.workspace().end(),
                                    [](const auto& a, const auto& b)
                                    { return a.rate() < b.rate(); })),
      database_(context.fleet.settings.database(0).name()),
      key_(context.fleet.key_of(workspace_->name())),
      id_prefix_(
          "session-" +
          std::to_string(
              std::chrono::system_clock::now().time_since_epoch().count()))
{
    write_route_ = context.fleet.find_route(database_, &is_plain_write);
    read_route_ = context.fleet.find_route(database_, &is_token_bound_read);
}

bool session_scenario::check(bool passed, const std::string& text) const
{
    std::cout << (passed ? "  ok      " : "  WRONG   ") << text << '\n';
    return passed;
}

/// Sends a request; repeats it after the time that a "not run" reply gives.
proto::CallerReply session_scenario::ask(const endpoint& daemon,
                                         const std::string& key,
                                         const proto::CallerRequest& request)
{
    std::optional<proto::CallerReply> reply;
    for (int i = 0; i < max_attempts; ++i)
    {
        reply = context_.client.send(daemon, key, request, call_timeout);
        if (!reply)
        {
            std::cout << "  " << daemon.name << " did not answer\n";
            return {};
        }
        std::cout << "  " << daemon.name << ' ' << request.route() << ": code "
                  << reply->code() << ", " << reply->outcome() << ", by "
                  << (reply->served_by().empty() ? "none" : reply->served_by())
                  << '\n';
        if (reply->outcome() != "not run")
        {
            break;
        }
        sleep_for(context_.io, milliseconds(reply->retry_after_ms()));
    }
    return *reply;
}

proto::CallerRequest
session_scenario::booking_request(const std::string& id) const
{
    proto::CallerRequest request;
    request.set_request_id(id_prefix_ + "-" + id);
    request.set_route(write_route_->name());
    request.set_statement("BOOK " + id_prefix_ + "-" + id + " St-Nicholas");
    return request;
}

bool session_scenario::write()
{
    std::cout << "A booking through one daemon\n";
    const auto reply =
        ask(context_.fleet.daemons[0], key_, booking_request("cloth"));
    token_ = reply.token();
    return check(reply.outcome() == "served" && reply.code() == 0,
                 "served; the answer carries the session's token");
}

bool session_scenario::read_through_other_daemons()
{
    std::cout << "The session reads its own write through the other daemons\n";
    proto::CallerRequest request;
    request.set_route(read_route_->name());
    request.set_statement("GET " + id_prefix_ + "-cloth");
    bool passed = true;
    for (std::size_t i = 1; i < context_.fleet.daemons.size(); ++i)
    {
        *request.mutable_token() = token_;
        const auto reply = ask(context_.fleet.daemons[i], key_, request);
        passed = reply.value() == "St-Nicholas" && passed;
        token_ = reply.token();
    }
    return check(passed, "each read shows the booking");
}

bool session_scenario::repeat_write()
{
    std::cout << "The booking's request id again through a third daemon\n";
    const auto reply =
        ask(context_.fleet.daemons[2], key_, booking_request("cloth"));
    return check(reply.outcome() == "served" && reply.value() == "St-Nicholas",
                 "same answer as for the first request");
}

bool session_scenario::use_wrong_key()
{
    std::cout << "A wrong key\n";
    const auto reply = ask(context_.fleet.daemons[1], key_ + "x",
                           booking_request("wrong-key"));
    refused_ids_.push_back(id_prefix_ + "-wrong-key");
    return check(reply.code() == to_number(result_code::key_unknown) &&
                     reply.outcome() == "caller error",
                 "refused as an unknown key");
}

/// Sends `count` bookings concurrently, to all daemons in turn.
void session_scenario::send_burst(std::uint64_t count)
{
    std::vector<boost::fibers::fiber> fibers;
    for (std::uint64_t i = 0; i < count; ++i)
    {
        fibers.emplace_back(
            [this, i]
            {
                const auto& daemons = context_.fleet.daemons;
                const auto request =
                    booking_request("burst-" + std::to_string(i));
                const auto reply = context_.client.send(
                    daemons[i % daemons.size()], key_, request, call_timeout);
                if (reply && reply->outcome() == "served")
                {
                    served_ids_.insert(request.request_id());
                }
                else if (reply && reply->outcome() == "not run")
                {
                    refused_ids_.push_back(request.request_id());
                    last_refusal_ = *reply;
                }
            });
    }
    for (auto& fiber : fibers)
    {
        fiber.join();
    }
}

bool session_scenario::exceed_rate()
{
    std::cout << "More than " << workspace_->name() << "'s rate of "
              << workspace_->rate() << "/s and burst of " << workspace_->burst()
              << '\n';
    const auto count = 3 * (workspace_->burst() + workspace_->rate());
    const auto before = refused_ids_.size();
    send_burst(count);
    const auto refused = refused_ids_.size() - before;
    std::cout << "  " << count << " sent at once: " << served_ids_.size()
              << " served, " << refused
              << " refused; the last one: " << to_json(last_refusal_) << '\n';
    return check(refused > 0 && served_ids_.size() + refused == count &&
                     last_refusal_.code() ==
                         to_number(result_code::over_rate) &&
                     last_refusal_.retry_after_ms() > 0,
                 "refused as not run, with the time after which to retry");
}

bool session_scenario::check_primary_log()
{
    std::cout << "The log of " << database_ << "'s primary\n";
    const auto dump =
        read_primary_dump(context_.client, context_.fleet, database_);
    if (!dump)
    {
        return check(false, "no primary answers");
    }
    std::multiset<std::string> id_counts;
    for (const auto& entry : dump->entry())
    {
        id_counts.insert(entry.request_id());
    }
    const auto occurs = [&](std::size_t times)
    {
        return [&id_counts, times](const std::string& id)
        { return id_counts.count(id) == times; };
    };
    const bool served_once =
        id_counts.count(id_prefix_ + "-cloth") == 1 &&
        std::all_of(served_ids_.begin(), served_ids_.end(), occurs(1));
    const bool refused_absent =
        std::all_of(refused_ids_.begin(), refused_ids_.end(), occurs(0));
    return check(served_once, "the log holds each served booking once") &&
           check(refused_absent, "none of the " +
                                     std::to_string(refused_ids_.size()) +
                                     " refused bookings is in the log");
}

} // namespace

exit_code session(command_context& context)
{
    if (context.fleet.daemons.size() < min_daemons ||
        context.fleet.keys.empty())
    {
        std::cerr << "session needs three VMs and --keys\n";
        return exit_code::usage;
    }
    using step = bool (session_scenario::*)();
    constexpr step steps[] = {&session_scenario::write,
                              &session_scenario::read_through_other_daemons,
                              &session_scenario::repeat_write,
                              &session_scenario::use_wrong_key,
                              &session_scenario::exceed_rate,
                              &session_scenario::check_primary_log};
    session_scenario scenario(context);
    bool passed = true;
    for (const auto run : steps)
    {
        passed = (scenario.*run)() && passed;
    }
    return passed ? exit_code::ok : exit_code::violation;
}

} // namespace tanagerhoist::load
