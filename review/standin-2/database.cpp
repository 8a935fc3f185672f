#include "database.hpp"

#include <boost/asio/detached.hpp>

#include <algorithm>
#include <sstream>
#include <utility>

namespace tanagerhoist::review
{
namespace
{

using asio::ip::tcp;
using boost::system::error_code;

constexpr milliseconds heartbeat{1200};
constexpr milliseconds slot_check{1};
constexpr unsigned longest_queue = 40;
constexpr unsigned status_ok = 200;
constexpr unsigned status_conflict = 409;

std::string take_word(std::string& text)
{
    const auto blank = text.find(' ');
    auto word = text.substr(0, blank);
    text = blank == std::string::npos ? "" : text.substr(blank + 1);
    return word;
}

std::string read_line(tcp::socket& socket, std::string& input,
                      const asio::yield_context& yield)
{
    const auto size = asio::async_read_until(
        socket, asio::dynamic_buffer(input), "\r\n", yield);
    auto line = input.substr(0, size - 2);
    input.erase(0, size);
    return line;
}

std::string error_line(const std::string& code)
{
    return "ERROR " + code + " not run\r\n";
}

bool writes(const std::string& text)
{
    return text.rfind("WRITE ", 0) == 0;
}

} // namespace

database::database(asio::io_context& context, platform& store,
                   database_options options, on_run ran)
    : context_(context),
      store_(store),
      options_(std::move(options)),
      ran_(std::move(ran))
{
    for (const auto& data_centre : options_.data_centres)
    {
        auto made = std::make_unique<server>();
        made->id = options_.group + "-s" + std::to_string(servers_.size() + 1);
        made->data_centre = data_centre;
        made->primary = servers_.empty();
        made->lag = options_.lag;
        made->acceptor = std::make_unique<tcp::acceptor>(
            context_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        servers_.push_back(std::move(made));
    }
    for (auto& made : servers_)
    {
        accept(*made);
        beat(*made);
    }
}

unsigned database::promote(const std::string& id)
{
    const auto found =
        std::find_if(servers_.begin(), servers_.end(),
                     [&id](const auto& one) { return one->id == id; });
    if (found == servers_.end())
    {
        return status_conflict;
    }
    auto& chosen = **found;
    if (chosen.primary && chosen.term == term_)
    {
        return status_ok;
    }
    auto timer =
        std::make_shared<asio::steady_timer>(context_, options_.promotion);
    timer->async_wait(
        [this, &chosen, timer](const error_code&)
        {
            for (auto& other : servers_)
            {
                other->primary = false;
            }
            chosen.primary = true;
            chosen.term = ++term_;
            beat(chosen);
        });
    return status_ok;
}

/// Writes a server's entry, now and from then on.
void database::beat(server& of)
{
    const auto port = of.acceptor->local_endpoint().port();
    store_.put("servers", of.id,
               boost::json::serialize(boost::json::object{
                   {"backend", options_.group},
                   {"address", "127.0.0.1:" + std::to_string(port)},
                   {"zone", of.data_centre},
                   {"version", "1"},
                   {"slots", options_.slots},
                   {"state", "ready"},
                   {"coldRemainingMs", 0},
                   {"dbRole", of.primary ? "primary" : "replica"},
                   {"born", 1},
                   {"seq", ++of.beats}}));
    auto timer = std::make_shared<asio::steady_timer>(context_, heartbeat);
    timer->async_wait(
        [this, &of, timer](const error_code& error)
        {
            if (!error)
            {
                beat(of);
            }
        });
}

void database::accept(server& at)
{
    at.acceptor->async_accept(
        [this, &at](const error_code& error, tcp::socket socket)
        {
            if (error)
            {
                return;
            }
            asio::spawn(
                context_,
                [this, &at, socket = std::move(socket)](
                    const asio::yield_context& yield) mutable
                {
                    link on{at, std::move(socket), "", "", 'I', false, 0};
                    ++at.connections;
                    try
                    {
                        serve(on, yield);
                    }
                    catch (const boost::system::system_error&)
                    {
                        // The proxy has closed the connection.
                    }
                    --at.connections;
                },
                asio::detached);
            accept(at);
        });
}

void database::serve(link& on, const asio::yield_context& yield)
{
    on.socket.set_option(tcp::no_delay(true));
    auto start = read_line(on.socket, on.input, yield);
    take_word(start);
    const auto group = take_word(start);
    on.workspace = take_word(start);
    const auto id = take_word(start);
    asio::steady_timer timer(context_, options_.handshake);
    timer.async_wait(yield);
    const bool mine = group == options_.group && (id.empty() || id == on.at.id);
    asio::async_write(on.socket,
                      asio::buffer(mine ? ready(on) : error_line("WRONGNODE")),
                      yield);
    while (mine)
    {
        auto line = read_line(on.socket, on.input, yield);
        if (take_word(line) != "QUERY")
        {
            return;
        }
        statement what;
        what.id = take_word(line);
        if (line.rfind("AFTER ", 0) == 0)
        {
            take_word(line);
            what.after = take_word(line);
        }
        what.text = line;
        run_statement(on, what, yield);
    }
}

void database::run_statement(link& on, const statement& what,
                             const asio::yield_context& yield)
{
    auto made = answer(on, what, yield);
    made += ready(on); // of the state after the statement
    asio::async_write(on.socket, asio::buffer(made), yield);
}

std::string database::answer(link& on, const statement& what,
                             const asio::yield_context& yield)
{
    const auto at_once = answer_at_once(on, what);
    return at_once.empty() ? work(on, what, yield) : at_once;
}

/// Answers what takes no slot; an empty text for other statements.
std::string database::answer_at_once(link& on, const statement& what)
{
    auto rest = what.text;
    const auto word = take_word(rest);
    if (word == "STATUS")
    {
        return "ROW " + status(on.at) + "\r\nCOMPLETE -\r\n";
    }
    if (word == "DEMOTE")
    {
        on.at.primary = on.at.primary && on.at.term >= std::stoull(rest);
        return "ROW " + status(on.at) + "\r\nCOMPLETE -\r\n";
    }
    if (word == "BEGIN")
    {
        return begin(on, what);
    }
    if (word == "ROLLBACK")
    {
        on.state = 'I';
        on.writes = 0;
    }
    const bool known = word == "ROLLBACK" || word == "SET" ||
                       word == "PREPARE" || word == "RESET" ||
                       word == "DEALLOC";
    return known ? "COMPLETE -\r\n" : "";
}

std::string database::begin(link& on, const statement& what)
{
    on.reads_only = what.text == "BEGIN READ";
    if (!on.reads_only && !on.at.primary)
    {
        return error_line("READONLY");
    }
    if (lacks(on.at, what.after))
    {
        return error_line("LAGGING");
    }
    on.state = 'T';
    on.writes = 0;
    return "COMPLETE -\r\n";
}

/// Runs a read, write or commit in a slot.
std::string database::work(link& on, const statement& what,
                           const asio::yield_context& yield)
{
    auto& at = on.at;
    if (writes(what.text) && !at.primary)
    {
        return error_line("READONLY");
    }
    if (lacks(at, what.after))
    {
        return error_line("LAGGING");
    }
    if (at.queued >= longest_queue)
    {
        return error_line("BUSY");
    }
    asio::steady_timer timer(context_);
    ++at.queued;
    while (at.busy >= options_.slots)
    {
        timer.expires_after(slot_check);
        timer.async_wait(yield);
    }
    --at.queued;
    ++at.busy;
    const auto begun = now();
    ran_({begun, at.id, on.workspace, what.id, what.text, at.primary,
          applied(at, begun + options_.work)});
    timer.expires_after(options_.work);
    timer.async_wait(yield);
    --at.busy;
    if (what.text == "COMMIT")
    {
        on.state = 'I';
        return commit(on, std::exchange(on.writes, 0));
    }
    if (writes(what.text))
    {
        on.writes += on.state == 'T' ? 1 : 0;
        return on.state == 'T' ? commit(on, 0) : commit(on, 1);
    }
    return "ROW value\r\n" + commit(on, 0);
}

/// Signs a result, after it has added a commit with writes to the log.
std::string database::commit(link& on, std::uint64_t writes)
{
    if (writes != 0)
    {
        commits_.push_back(now());
    }
    return "COMPLETE " + on.at.id + '.' + std::to_string(++signatures_) +
           "\r\n";
}

/// Number of the last log entry that a server has at a moment.
std::uint64_t database::applied(const server& at, moment when) const
{
    const auto limit = at.primary ? when : when - at.lag;
    const auto number = static_cast<std::uint64_t>(
        std::upper_bound(commits_.begin(), commits_.end(), limit) -
        commits_.begin());
    return std::max(number, at.applied);
}

void database::set_lag(std::size_t index, milliseconds lag)
{
    auto& changed = *servers_.at(index);
    changed.applied = applied(changed, now());
    changed.lag = lag;
}

bool database::lacks(const server& at, const std::string& after) const
{
    const auto point = after.find('.');
    return point != std::string::npos &&
           std::stoull(after.substr(point + 1)) > applied(at, now());
}

std::string database::ready(const link& on) const
{
    return std::string("READY ") + on.state + ' ' + std::to_string(term_) +
           '.' + std::to_string(applied(on.at, now())) + "\r\n";
}

std::string database::status(const server& at) const
{
    std::ostringstream row;
    row << (at.primary ? "primary " : "replica ")
        << (at.primary ? at.term : term_) << ' ' << term_ << '.'
        << commits_.size() << " 0 0 " << at.busy << ' ' << at.connections;
    return row.str();
}

} // namespace tanagerhoist::review
