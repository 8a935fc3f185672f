#include "standin/wire_clients.hpp"

#include "standin/wire_link.hpp"
#include "standin/wire_script.hpp"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <deque>
#include <utility>

namespace tanagerhoist::standin
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr milliseconds redial_pause{50};
constexpr milliseconds unread_time{200};    ///< of a statement before a close
constexpr milliseconds longest_wait{30000}; ///< far above all time limits
constexpr unsigned pause_share = 15;        // percent of statements
constexpr std::size_t longest_pause = 20;   // ms

/// States in which an error may leave a session.
std::string states_after_error(const std::string& before,
                               const std::string& text)
{
    if (before == "I")
    {
        return "I";
    }
    return text == "COMMIT" ? "IE" : "TE";
}

std::string state_after_success(const std::string& before,
                                const std::string& text)
{
    if (text == "BEGIN" || text == "BEGIN READ")
    {
        return "T";
    }
    return text == "COMMIT" || text == "ROLLBACK" ? "I" : before;
}

} // namespace

/// One client with one session at a time.
class wire_clients::client
{
public:
    client(asio::io_context& context, const wire_clients_options& options,
           const wire_mode& mode, wire_ledger& ledger, std::size_t number,
           std::function<void()> done)
        : context_(context),
          options_(options),
          mode_(mode),
          ledger_(ledger),
          number_(number),
          random_(options.seed * 1000 + number),
          data_(random_, mode.any_bytes),
          script_(random_, data_),
          timer_(context),
          done_(std::move(done))
    {
        dial();
    }

private:
    class link;

    void dial();
    void connected();
    void line_arrived(const std::string& line);
    void link_lost();
    bool is_closed_early() const;

    void redial(milliseconds pause)
    {
        link_.reset();
        timer_.expires_after(pause);
        timer_.async_wait(
            [this](error_code error)
            {
                if (!error)
                {
                    dial();
                }
            });
    }

    void next()
    {
        if (steps_.empty() && statements_ >= options_.statements)
        {
            end_session("TERMINATE\r\n");
            done_();
            return;
        }
        if (steps_.empty())
        {
            steps_ = script_.next_operation(state_);
        }
        const auto step = std::move(steps_.front());
        steps_.pop_front();
        if (step.what == client_step::kind::statement)
        {
            send_later(step.text);
            return;
        }
        end_session(step.what == client_step::kind::end ? "TERMINATE\r\n" : "");
        redial(redial_pause);
    }

    void end_session(const std::string& message);

    void send_later(const std::string& text)
    {
        const auto pause = random_.chance(pause_share)
                               ? random_.time(1, longest_pause)
                               : milliseconds(0);
        timer_.expires_after(pause);
        timer_.async_wait(
            [this, text](error_code error)
            {
                if (!error && link_)
                {
                    send(text);
                }
            });
    }

    void send(const std::string& text);

    void watch()
    {
        timer_.expires_after(longest_wait);
        timer_.async_wait(
            [this](error_code error)
            {
                if (!error)
                {
                    ledger_.add_case(wire_check::broken, id_, "no answer");
                    end_session("");
                    redial(redial_pause);
                }
            });
    }

    void answer_arrived()
    {
        outstanding_ = false;
        timer_.cancel();
        const auto answer = std::exchange(answer_, wire_answer());
        ledger_.note_answer(id_, answer);
        const bool failed = !answer.error.empty();
        const auto before = std::exchange(transaction_state_, answer.state);
        const auto allowed = failed ? states_after_error(before, text_)
                                    : state_after_success(before, text_);
        const bool stays = failed && text_ == "ROLLBACK";
        if (answer.state.size() != 1 || stays ||
            allowed.find(answer.state) == std::string::npos)
        {
            ledger_.add_case(wire_check::state, id_,
                             "state " + answer.state + " after " + before);
            end_session("");
            redial(redial_pause);
            return;
        }
        if (!failed)
        {
            note_acknowledged(state_, text_);
        }
        go_on(failed);
    }

    /// Goes on after an answer.
    void go_on(bool failed)
    {
        if (transaction_state_ == "I")
        {
            transaction_ = 0;
        }
        else if (transaction_ == 0)
        {
            transaction_ = ledger_.next_transaction();
        }
        if (failed)
        {
            steps_.clear();
            if (transaction_state_ != "I")
            {
                steps_.push_back({client_step::kind::statement, "ROLLBACK"});
            }
        }
        next();
    }

    asio::io_context& context_;
    const wire_clients_options& options_;
    const wire_mode& mode_;
    wire_ledger& ledger_;
    std::size_t number_;
    wire_random random_;
    wire_data data_;
    wire_script script_;
    asio::steady_timer timer_;
    std::function<void()> done_;
    std::shared_ptr<link> link_;
    std::deque<client_step> steps_;
    std::size_t statements_ = 0;
    client_state state_;
    std::uint64_t transaction_ = 0; ///< 0: outside
    std::string transaction_state_;
    bool started_ = false;
    bool outstanding_ = false;
    std::string id_;                             ///< of the latest statement
    std::chrono::steady_clock::time_point sent_; ///< when it was
    std::string text_;
    wire_answer answer_;
};

class wire_clients::client::link : public wire_link
{
public:
    link(tcp::socket socket, client& owner)
        : wire_link(std::move(socket), owner.random_, owner.mode_.pieces),
          owner_(owner)
    {
    }

    void dial()
    {
        socket().async_connect(
            owner_.options_.daemon,
            [self = shared_from_this(), this](error_code error)
            {
                if (is_current())
                {
                    error ? owner_.link_lost() : owner_.connected();
                }
            });
    }

private:
    void line_arrived(const std::string& line) override
    {
        if (is_current())
        {
            owner_.line_arrived(line);
        }
    }

    void link_lost() override
    {
        if (is_current())
        {
            owner_.link_lost();
        }
    }

    bool is_current() const { return owner_.link_.get() == this; }

    client& owner_;
};

void wire_clients::client::dial()
{
    started_ = false;
    outstanding_ = false;
    transaction_ = 0;
    transaction_state_ = "I";
    state_ = client_state();
    steps_.clear();
    answer_ = wire_answer();
    link_ = std::make_shared<link>(tcp::socket(context_), *this);
    link_->dial();
}

void wire_clients::client::connected()
{
    const auto& databases = options_.databases;
    const auto& database = databases[random_.below(databases.size())];
    link_->start();
    link_->send("STARTUP " + database + " -\r\n");
}

void wire_clients::client::line_arrived(const std::string& line)
{
    std::string_view rest = line;
    const auto word = take_field(rest);
    if (!started_)
    {
        started_ = word == "READY";
        if (started_)
        {
            next();
            return;
        }
        ledger_.count("start refused");
        end_session("");
        redial(redial_pause);
    }
    else if (!outstanding_)
    {
        ledger_.add_case(wire_check::surplus, id_, '[' + escaped(line) + ']');
        end_session("");
        redial(redial_pause);
    }
    else if (word == "ROW")
    {
        answer_.rows.emplace_back(rest);
    }
    else if (word == "COMPLETE")
    {
        answer_.signature = std::string(rest);
    }
    else if (word == "ERROR")
    {
        answer_.error = std::string(take_field(rest));
        answer_.text = std::string(rest);
    }
    else if (word == "READY")
    {
        answer_.state = std::string(take_field(rest));
        answer_arrived();
    }
    else
    {
        ledger_.add_case(wire_check::surplus, id_,
                         "not a message: [" + escaped(line) + ']');
        end_session("");
        redial(redial_pause);
    }
}

void wire_clients::client::link_lost()
{
    if (is_closed_early())
    {
        ledger_.add_case(wire_check::broken, id_, "session closed");
    }
    else if (outstanding_ || transaction_ != 0)
    {
        ledger_.count("closed by a restart");
    }
    else
    {
        ledger_.count(started_ ? "closed idle" : "start failed");
    }
    redial(redial_pause);
}

/// Whether the session is closed while it may not be. A daemon that restarts
/// may close transactions that wait for their client, and must have answered
/// all that it has read.
bool wire_clients::client::is_closed_early() const
{
    if (!mode_.restarts)
    {
        return outstanding_ || transaction_ != 0;
    }
    const auto since = std::chrono::steady_clock::now() - sent_;
    return outstanding_ && (ledger_.has_arrived(id_) || since > unread_time);
}

void wire_clients::client::end_session(const std::string& message)
{
    link_->send(message);
    link_->close_after_output();
    link_.reset();
}

void wire_clients::client::send(const std::string& text)
{
    ++statements_;
    id_ = std::to_string(number_) + '.' + std::to_string(statements_) + '.' +
          data_.word();
    text_ = text;
    outstanding_ = true;
    sent_ = std::chrono::steady_clock::now();
    sent_statement sent;
    sent.text = text;
    sent.client = number_;
    sent.transaction = transaction_;
    sent.writes = writes(state_, text);
    sent.values = state_.values;
    sent.shape = executed_shape(state_, text);
    ledger_.note_sent(id_, std::move(sent));
    link_->send("QUERY " + id_ + ' ' + text + "\r\n");
    watch();
}

wire_clients::wire_clients(asio::io_context& context,
                           wire_clients_options options, const wire_mode& mode,
                           wire_ledger& ledger, std::function<void()> done)
    : options_(std::move(options)),
      running_(options_.clients),
      done_(std::move(done))
{
    const auto one_done = [this]
    {
        if (--running_ == 0)
        {
            done_();
        }
    };
    for (std::size_t i = 1; i <= options_.clients; ++i)
    {
        clients_.push_back(std::make_unique<client>(context, options_, mode,
                                                    ledger, i, one_done));
    }
}

wire_clients::~wire_clients() = default;

} // namespace tanagerhoist::standin
