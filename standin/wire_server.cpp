#include "standin/wire_server.hpp"

#include "standin/wire_link.hpp"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <memory>
#include <utility>
#include <vector>

namespace tanagerhoist::standin
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr const char* group_name = "g";
constexpr std::size_t longest_run = 6; // ms

} // namespace

/// Pending operations hold references to it.
class wire_server::connection : public wire_link
{
public:
    connection(tcp::socket socket, wire_server& server)
        : wire_link(std::move(socket), server.group_.random,
                    server.group_.mode.pieces),
          server_(server),
          group_(server.group_),
          number_(++server.group_.connections),
          execution_(server.group_, server.name_, server.primary_, number_),
          timer_(server.group_.context)
    {
    }

private:
    void line_arrived(const std::string& line) override
    {
        group_.ledger.note_bytes(number_, "<-", line);
        waiting_.push_back(line);
        if (!under_way_)
        {
            run_next();
        }
    }

    void link_lost() override {}

    void run_next()
    {
        if (waiting_.empty() || is_closed())
        {
            under_way_ = false;
            return;
        }
        under_way_ = true;
        const auto line = std::move(waiting_.front());
        waiting_.pop_front();
        if (!started_)
        {
            begin_session(line);
            run_next();
            return;
        }
        auto what = parse_query(line);
        if (what.is_of_proxy())
        {
            run(what);
            return;
        }
        timer_.expires_after(group_.random.time(0, longest_run));
        timer_.async_wait(
            [self = shared_from_this(), this, what](error_code)
            {
                if (!is_closed())
                {
                    run(what);
                }
            });
    }

    void begin_session(const std::string& line)
    {
        std::string_view rest = line;
        const bool starts = take_field(rest) == "STARTUP";
        const bool mine = take_field(rest) == group_name;
        take_field(rest); // who
        started_ = starts && mine && (rest.empty() || rest == server_.name_);
        write(started_ ? "READY I " + group_.position() + "\r\n"
                       : "ERROR WRONGNODE x\r\n");
        if (!started_)
        {
            close_after_output();
        }
    }

    void run(const read_statement& what)
    {
        reply(what, execution_.run(what));
        run_next();
    }

    void reply(const read_statement& what, const wire_answer& answer)
    {
        answer_bytes bytes;
        bytes.is_error = !answer.error.empty();
        bytes.is_to_proxy = what.is_of_proxy();
        for (const auto& row : answer.rows)
        {
            bytes.bytes += "ROW " + row + "\r\n";
        }
        bytes.bytes += bytes.is_error
                           ? "ERROR " + answer.error + ' ' + answer.text
                           : "COMPLETE " + answer.signature;
        bytes.bytes +=
            "\r\nREADY " + answer.state + ' ' + group_.position() + "\r\n";
        if (what.word == "STATUS" && !group_.mode.status)
        {
            write(bytes.bytes);
            return;
        }
        for (auto& step : group_.mode.plan(bytes, group_.random))
        {
            carry_out(std::move(step));
        }
    }

    void carry_out(planned_write step)
    {
        if (step.delay == milliseconds(0))
        {
            write_step(step);
            return;
        }
        auto timer = std::make_shared<asio::steady_timer>(group_.context);
        timer->expires_after(step.delay);
        timer->async_wait(
            [self = shared_from_this(), this, timer,
             step = std::move(step)](error_code)
            {
                if (!is_closed() && !(step.only_if_idle && under_way_))
                {
                    write_step(step);
                }
            });
    }

    void write_step(const planned_write& step)
    {
        write(step.bytes);
        if (step.closes)
        {
            close_after_output();
        }
    }

    void write(const std::string& bytes)
    {
        group_.ledger.note_bytes(number_, "->", bytes);
        send(bytes);
    }

    wire_server& server_;
    wire_group& group_;
    std::uint64_t number_;
    wire_execution execution_;
    asio::steady_timer timer_;
    std::deque<std::string> waiting_;
    bool started_ = false;
    bool under_way_ = false;
};

wire_server::wire_server(wire_group& group, std::string name, bool primary,
                         const tcp::endpoint& listen)
    : group_(group),
      name_(std::move(name)),
      primary_(primary),
      acceptor_(group.context, listen)
{
    accept();
}

std::string wire_server::address() const
{
    const auto local = acceptor_.local_endpoint();
    return local.address().to_string() + ':' + std::to_string(local.port());
}

void wire_server::accept()
{
    acceptor_.async_accept(
        [this](error_code error, tcp::socket socket)
        {
            if (error)
            {
                return;
            }
            std::make_shared<connection>(std::move(socket), *this)->start();
            accept();
        });
}

} // namespace tanagerhoist::standin
