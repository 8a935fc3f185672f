#include "database_group.hpp"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>

#include <sstream>
#include <thread>
#include <utility>

namespace tanagerhoist::review
{
namespace
{

namespace json = boost::json;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;

constexpr milliseconds heartbeat{1200};
constexpr milliseconds handshake_time{12};

std::string error(const std::string& word)
{
    return "ERROR " + word + " not run\r\n";
}

} // namespace

database_group::database_group(std::string name,
                               const std::vector<std::string>& addresses,
                               server_times times, store& platform,
                               record& lines)
    : name_(std::move(name)), times_(times), store_(platform), record_(lines)
{
    for (const auto& address : addresses)
    {
        auto& added = *servers_.emplace_back(std::make_unique<server>());
        added.id = name_ + "s" + std::to_string(servers_.size());
        added.primary = servers_.size() == 1;
        added.acceptor = std::make_unique<tcp::acceptor>(
            context_, tcp::endpoint(boost::asio::ip::make_address(address), 0));
        std::thread([this, &added] { accept(added); }).detach();
    }
}

void database_group::start_heartbeats()
{
    write_entries();
    std::thread(
        [this]
        {
            for (;;)
            {
                std::this_thread::sleep_for(heartbeat);
                write_entries();
            }
        })
        .detach();
}

std::string database_group::entry_of(server& of) const
{
    const auto local = of.acceptor->local_endpoint();
    return json::serialize(
        json::object{{"backend", name_},
                     {"address", local.address().to_string() + ':' +
                                     std::to_string(local.port())},
                     {"zone", "zone-a"},
                     {"version", "v1"},
                     {"slots", 2},
                     {"state", of.draining ? "draining" : "ready"},
                     {"coldRemainingMs", 0},
                     {"dbRole", of.primary ? "primary" : "replica"},
                     {"seq", ++of.sequence},
                     {"born", 1}});
}

void database_group::write_entries()
{
    for (const auto& of : servers_)
    {
        std::string entry;
        {
            const std::lock_guard lock(mutex_);
            entry = entry_of(*of);
        }
        store_.put({"servers", of->id}, entry);
    }
}

void database_group::drain_primary()
{
    {
        const std::lock_guard lock(mutex_);
        for (const auto& of : servers_)
        {
            of->draining = of->draining || of->primary;
        }
    }
    record_.write("the primary of " + name_ + " reports that it is draining");
    write_entries();
}

bool database_group::promote(const std::string& id)
{
    for (const auto& of : servers_)
    {
        if (of->id != id)
        {
            continue;
        }
        std::thread(
            [this, &promoted = *of]
            {
                std::this_thread::sleep_for(times_.promote);
                const std::lock_guard lock(mutex_);
                if (promoted.primary)
                {
                    return;
                }
                promoted.primary = true;
                promoted.term = ++term_;
                record_.write(promoted.id + " leads term " +
                              std::to_string(term_));
            })
            .detach();
        return true;
    }
    return false;
}

void database_group::accept(server& of)
{
    for (;;)
    {
        boost::system::error_code failed;
        tcp::socket socket(context_);
        of.acceptor->accept(socket, failed);
        if (!failed)
        {
            std::thread([this, &of, moved = std::move(socket)]() mutable
                        { serve(of, std::move(moved)); })
                .detach();
        }
    }
}

void database_group::serve(server& of, tcp::socket socket)
{
    std::string input;
    session state;
    bool started = false;
    boost::system::error_code failed;
    socket.set_option(tcp::no_delay(true), failed);
    for (;;)
    {
        const auto size = boost::asio::read_until(
            socket, boost::asio::dynamic_buffer(input), "\r\n", failed);
        if (failed)
        {
            return;
        }
        const auto line = input.substr(0, size - 2);
        input.erase(0, size);
        std::string answer;
        if (started)
        {
            answer = run(of, state, line);
        }
        else
        {
            std::this_thread::sleep_for(handshake_time);
            started = line.rfind("STARTUP " + name_ + ' ', 0) == 0;
            const std::lock_guard lock(mutex_);
            answer = started ? ready(of, state) : error("WRONGNODE");
        }
        boost::asio::write(socket, boost::asio::buffer(answer), failed);
        if (failed || !started)
        {
            return;
        }
    }
}

std::string database_group::ready(const server& at, const session& state) const
{
    return std::string("READY ") + (state.in_transaction ? "T " : "I ") +
           std::to_string(at.term) + '.' + std::to_string(commits_) + "\r\n";
}

/// Runs one line of an open connection.
std::string database_group::run(server& at, session& state,
                                const std::string& line)
{
    std::istringstream words(line);
    std::string word;
    std::string id;
    words >> word >> id >> std::ws;
    std::string text;
    std::getline(words, text);
    if (text.rfind("AFTER ", 0) == 0) // all logs are equal
    {
        text.erase(0, text.find(' ', sizeof("AFTER")) + 1);
    }
    const bool control = text == "STATUS" || text.rfind("DEMOTE ", 0) == 0;
    return control ? run_control(at, text) : run_statement(at, state, id, text);
}

std::string database_group::run_control(server& at, const std::string& text)
{
    ++control_commands_;
    std::this_thread::sleep_for(times_.control);
    const std::lock_guard lock(mutex_);
    if (text != "STATUS")
    {
        const auto term = std::stoull(text.substr(text.find(' ')));
        record_.write(at.id + " is told " + text);
        if (at.primary && at.term < term)
        {
            at.primary = false;
        }
    }
    const std::string term = std::to_string(at.term);
    return std::string("ROW ") + (at.primary ? "primary " : "replica ") + term +
           ' ' + term + '.' + std::to_string(commits_) +
           " 0 0 0 1\r\nCOMPLETE -\r\n" + ready(at, session{});
}

/// Takes a slot for the time of a statement.
void database_group::work(server& at)
{
    std::unique_lock lock(mutex_);
    at.ended.wait(lock, [&] { return at.running < times_.slots; });
    ++at.running;
    lock.unlock();
    std::this_thread::sleep_for(times_.statement);
    lock.lock();
    --at.running;
    at.ended.notify_one();
}

std::string database_group::run_statement(server& at, session& state,
                                          const std::string& id,
                                          const std::string& text)
{
    const auto word = text.substr(0, text.find(' '));
    const bool works = word == "READ" || word == "WRITE" || word == "COMMIT";
    if (works)
    {
        work(at);
    }
    const std::lock_guard lock(mutex_);
    const bool needs_primary =
        word == "WRITE" || text == "BEGIN" || (word == "COMMIT" && state.wrote);
    if (needs_primary && !at.primary)
    {
        state = {};
        return error("READONLY") + ready(at, state);
    }
    const bool single_write = word == "WRITE" && !state.in_transaction;
    commits_ += single_write || (word == "COMMIT" && state.wrote) ? 1 : 0;
    state.wrote = word == "WRITE" && state.in_transaction;
    state.in_transaction =
        word == "BEGIN" ||
        (state.in_transaction && word != "COMMIT" && word != "ROLLBACK");
    std::string answer = word == "READ" ? "ROW row\r\n" : "";
    answer += "COMPLETE " + (works ? at.id + '.' + id : std::string("-"));
    return answer + "\r\n" + ready(at, state);
}

} // namespace tanagerhoist::review
