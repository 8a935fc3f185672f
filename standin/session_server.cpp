#include "standin/session_server.hpp"

#include "platform/line_protocol.hpp"

#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <memory>
#include <sstream>
#include <utility>

namespace tanagerhoist::standin
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// Pending operations hold references to it.
class session_server::connection
    : public std::enable_shared_from_this<connection>
{
public:
    connection(tcp::socket socket, session_server& server)
        : socket_(std::move(socket)),
          timer_(socket_.get_executor()),
          server_(server)
    {
    }

    void read()
    {
        asio::async_read_until(
            socket_, asio::dynamic_buffer(input_), "\r\n",
            [self = shared_from_this()](error_code error, std::size_t size)
            {
                if (!error)
                {
                    self->handle(self->take_line(size));
                }
            });
    }

private:
    std::string take_line(std::size_t size)
    {
        auto line = input_.substr(0, size - 2);
        input_.erase(0, size);
        return line;
    }

    void handle(const std::string& line)
    {
        if (!server_.responds())
        {
            read();
            return;
        }
        if (!started_)
        {
            started_ = server_.accepts(line);
            write(started_ ? server_.ready()
                           : platform::error_line(session_error::wrong_server,
                                                  "not run"));
            return;
        }
        std::istringstream words(line);
        std::string query;
        std::string id;
        std::string text;
        words >> query >> id >> std::ws;
        std::getline(words, text);
        if (handle_statement(text))
        {
            return;
        }
        run(text);
    }

    /// Answers a statement that stores nothing.
    /// @return false if it is another one
    bool handle_statement(const std::string& text)
    {
        const auto word = text.substr(0, text.find(' '));
        if (word == "BEGIN")
        {
            state_ = transaction_state::open;
        }
        else if (word == "COMMIT" || word == "ROLLBACK")
        {
            state_ = transaction_state::none;
        }
        else if (word != "SET" && word != "RESET" && word != "READ")
        {
            return false;
        }
        const bool is_signed = word == "READ" || word == "COMMIT";
        const auto signature = is_signed ? server_.next_signature() : "-";
        const auto row = word == "READ" ? platform::row_line("x") : "";
        write(row + platform::complete_line(signature) + server_.ready(state_));
        return true;
    }

    void run(const std::string& command)
    {
        server_.commands_.arrived(server_.id_, command);
        timer_.expires_after(server_.commands_.duration);
        timer_.async_wait(
            [self = shared_from_this(), command](error_code error)
            {
                if (!error)
                {
                    self->finish(command);
                }
            });
    }

    void finish(const std::string& command)
    {
        if (server_.responds())
        {
            const auto answer = server_.run(command);
            write(answer);
            repeat_later(answer);
        }
        else
        {
            read();
        }
    }

    /// Answers a line; reads the next one unless the startup was refused.
    void write(const std::string& answer)
    {
        send(answer);
        if (started_)
        {
            read();
        }
    }

    /// Sends an answer again, whatever was sent meanwhile.
    void repeat_later(const std::string& answer)
    {
        const auto wait = server_.commands_.repeated_after;
        if (wait == milliseconds(0))
        {
            return;
        }
        const auto timer =
            std::make_shared<asio::steady_timer>(socket_.get_executor(), wait);
        timer->async_wait(
            [self = shared_from_this(), timer, answer](error_code error)
            {
                if (!error)
                {
                    self->send(answer);
                }
            });
    }

    void send(const std::string& bytes)
    {
        waiting_ += bytes;
        if (output_.empty())
        {
            send_waiting();
        }
    }

    void send_waiting()
    {
        output_ = std::exchange(waiting_, {});
        asio::async_write(
            socket_, asio::buffer(output_),
            [self = shared_from_this()](error_code error, std::size_t /*size*/)
            {
                self->output_.clear();
                if (!error && !self->waiting_.empty())
                {
                    self->send_waiting();
                }
            });
    }

    tcp::socket socket_;
    asio::steady_timer timer_;
    session_server& server_;
    std::string input_;
    std::string output_;  ///< being sent
    std::string waiting_; ///< to be sent afterwards
    bool started_ = false;
    transaction_state state_ = transaction_state::none;
};

session_server::session_server(asio::io_context& context,
                               const tcp::endpoint& listen, std::string id,
                               session_group& group,
                               const control_commands& commands)
    : acceptor_(context, listen),
      id_(std::move(id)),
      group_(group),
      commands_(commands)
{
    accept();
}

std::string session_server::address() const
{
    const auto local = acceptor_.local_endpoint();
    return local.address().to_string() + ':' + std::to_string(local.port());
}

void session_server::accept()
{
    acceptor_.async_accept(
        [this](error_code error, tcp::socket socket)
        {
            if (error == asio::error::operation_aborted)
            {
                return;
            }
            if (!error)
            {
                std::make_shared<connection>(std::move(socket), *this)->read();
            }
            accept();
        });
}

/// Whether a connection's first line names this group, and this server if any.
bool session_server::accepts(const std::string& line) const
{
    std::istringstream words(line);
    std::string start;
    std::string group;
    std::string workspace;
    std::string server;
    words >> start >> group >> workspace >> server;
    return start == "STARTUP" && group == group_.name() &&
           (server.empty() || server == id_);
}

std::string session_server::ready(transaction_state state) const
{
    return platform::ready_line(state, group_.log_end());
}

std::string session_server::next_signature()
{
    return "signature-" + id_ + '.' + std::to_string(++signatures_);
}

/// Runs a command and returns all lines of the answer.
std::string session_server::run(const std::string& command)
{
    const auto row = group_.run(id_, command);
    if (row.empty())
    {
        return platform::error_line(session_error::read_only, "not run") +
               ready();
    }
    return platform::row_line(row) + platform::complete_line("-") + ready();
}

} // namespace tanagerhoist::standin
