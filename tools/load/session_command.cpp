// One session, step by step, with what each step should show.
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
constexpr std::size_t daemons_needed = 3;
constexpr int most_tries = 20; // of one request that is refused as not run

std::uint32_t number(result_code code)
{
    return static_cast<std::uint32_t>(code);
}

/// Runs the steps in order and keeps what the later ones need.
class transcript
{
public:
    explicit transcript(command_context& context);

    bool write();
    bool read_elsewhere();
    bool repeat();
    bool wrong_key();
    bool exceed_rate();
    bool look_into_database();

private:
    bool check(bool as_expected, const std::string& text) const;
    proto::CallerReply ask(const endpoint& daemon, const std::string& key,
                           const proto::CallerRequest& request);
    proto::CallerRequest booking(const std::string& id) const;
    void burst(std::uint64_t count);

    command_context& context_;
    const proto::WorkspaceSettings* smallest_; ///< lowest rate and burst
    const proto::RouteSettings* book_ = nullptr;
    const proto::RouteSettings* read_ = nullptr;
    std::string database_;
    std::string key_;
    std::string run_; ///< makes the ids of this run unique
    proto::SessionToken token_;
    std::set<std::string> served_;
    std::vector<std::string> refused_;
    proto::CallerReply refusal_;
};

transcript::transcript(command_context& context)
    : context_(context),
      smallest_(&*std::min_element(context.all.settings.workspace().begin(),
                                   context.all.settings.workspace().end(),
                                   [](const auto& a, const auto& b)
                                   { return a.rate() < b.rate(); })),
      database_(context.all.settings.database(0).name()),
      key_(context.all.key_of(smallest_->name())),
      run_("session-" +
           std::to_string(
               std::chrono::system_clock::now().time_since_epoch().count()))
{
    book_ = context.all.find_route(database_, &is_booking);
    read_ = context.all.find_route(database_, &is_exact_read);
}

bool transcript::check(bool as_expected, const std::string& text) const
{
    std::cout << (as_expected ? "  ok      " : "  WRONG   ") << text << '\n';
    return as_expected;
}

/// Sends a request, and again after the time that a refusal states.
proto::CallerReply transcript::ask(const endpoint& daemon,
                                   const std::string& key,
                                   const proto::CallerRequest& request)
{
    std::optional<proto::CallerReply> reply;
    for (int i = 0; i < most_tries; ++i)
    {
        reply = context_.calls.ask(daemon, key, request, call_timeout);
        if (!reply)
        {
            std::cout << "  " << daemon.name << " gave no answer\n";
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

proto::CallerRequest transcript::booking(const std::string& id) const
{
    proto::CallerRequest request;
    request.set_request_id(run_ + "-" + id);
    request.set_route(book_->name());
    request.set_statement("BOOK " + run_ + "-" + id + " St-Nicholas");
    return request;
}

bool transcript::write()
{
    std::cout << "A booking through one daemon\n";
    const auto reply = ask(context_.all.daemons[0], key_, booking("cloth"));
    token_ = reply.token();
    return check(reply.outcome() == "served" && reply.code() == 0,
                 "served; the answer carries the session's token");
}

bool transcript::read_elsewhere()
{
    std::cout << "The session reads its own write through others\n";
    proto::CallerRequest request;
    request.set_route(read_->name());
    request.set_statement("GET " + run_ + "-cloth");
    bool right = true;
    for (std::size_t i = 1; i < context_.all.daemons.size(); ++i)
    {
        *request.mutable_token() = token_;
        const auto reply = ask(context_.all.daemons[i], key_, request);
        right = reply.value() == "St-Nicholas" && right;
        token_ = reply.token();
    }
    return check(right, "each read shows the booking");
}

bool transcript::repeat()
{
    std::cout << "The booking's request id again through a third daemon\n";
    const auto reply = ask(context_.all.daemons[2], key_, booking("cloth"));
    return check(reply.outcome() == "served" && reply.value() == "St-Nicholas",
                 "answered as the first one was");
}

bool transcript::wrong_key()
{
    std::cout << "A wrong key\n";
    const auto reply =
        ask(context_.all.daemons[1], key_ + "x", booking("wrong-key"));
    refused_.push_back(run_ + "-wrong-key");
    return check(reply.code() == number(result_code::key_unknown) &&
                     reply.outcome() == "caller error",
                 "refused as an unknown key");
}

/// Sends bookings at once, over all daemons in turn.
void transcript::burst(std::uint64_t count)
{
    std::vector<boost::fibers::fiber> calls;
    for (std::uint64_t i = 0; i < count; ++i)
    {
        calls.emplace_back(
            [this, i]
            {
                const auto& daemons = context_.all.daemons;
                const auto request = booking("burst-" + std::to_string(i));
                const auto reply = context_.calls.ask(
                    daemons[i % daemons.size()], key_, request, call_timeout);
                if (reply && reply->outcome() == "served")
                {
                    served_.insert(request.request_id());
                }
                else if (reply && reply->outcome() == "not run")
                {
                    refused_.push_back(request.request_id());
                    refusal_ = *reply;
                }
            });
    }
    for (auto& call : calls)
    {
        call.join();
    }
}

bool transcript::exceed_rate()
{
    std::cout << "More than " << smallest_->name() << "'s rate of "
              << smallest_->rate() << "/s and burst of " << smallest_->burst()
              << '\n';
    const auto count = 3 * (smallest_->burst() + smallest_->rate());
    const auto before = refused_.size();
    burst(count);
    const auto refused = refused_.size() - before;
    std::cout << "  " << count << " sent at once: " << served_.size()
              << " served, " << refused
              << " refused; the last one: " << to_json(refusal_) << '\n';
    return check(refused > 0 && served_.size() + refused == count &&
                     refusal_.code() == number(result_code::over_rate) &&
                     refusal_.retry_after_ms() > 0,
                 "refused as not run, with the time after which to retry");
}

bool transcript::look_into_database()
{
    std::cout << "The log of " << database_ << "'s primary\n";
    const auto dump = primary_dump(context_.calls, context_.all, database_);
    if (!dump)
    {
        return check(false, "no primary answers");
    }
    std::multiset<std::string> held;
    for (const auto& entry : dump->entry())
    {
        held.insert(entry.request_id());
    }
    const auto holds = [&](std::size_t times)
    {
        return [&held, times](const std::string& id)
        { return held.count(id) == times; };
    };
    const bool once = held.count(run_ + "-cloth") == 1 &&
                      std::all_of(served_.begin(), served_.end(), holds(1));
    const bool none = std::all_of(refused_.begin(), refused_.end(), holds(0));
    return check(once, "each served booking is there once") &&
           check(none, "none of the " + std::to_string(refused_.size()) +
                           " refused ones is there");
}

} // namespace

exit_code session(command_context& context)
{
    if (context.all.daemons.size() < daemons_needed || context.all.keys.empty())
    {
        std::cerr << "session needs three VMs and --keys\n";
        return exit_code::usage;
    }
    using step = bool (transcript::*)();
    constexpr step steps[] = {
        &transcript::write,       &transcript::read_elsewhere,
        &transcript::repeat,      &transcript::wrong_key,
        &transcript::exceed_rate, &transcript::look_into_database};
    transcript session(context);
    bool right = true;
    for (const auto run : steps)
    {
        right = (session.*run)() && right;
    }
    return right ? exit_code::ok : exit_code::violation;
}

} // namespace tanagerhoist::load
