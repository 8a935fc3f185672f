#include "standin/client_crowd.hpp"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace tanagerhoist::standin
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t message_limit = std::size_t{1} << 20U; // bytes
constexpr std::size_t text_size = 60000;                     // bytes
constexpr std::size_t read_size = 4096;                      // bytes
constexpr std::size_t small_piece = 64;                      // bytes
constexpr std::size_t medium_piece = std::size_t{16} << 10U; // bytes
constexpr unsigned many_parts = 16;                          // messages
constexpr unsigned many = 200;                               // messages
constexpr milliseconds slow{50};

std::string large_message(unsigned n)
{
    auto text = "QUERY " + std::to_string(n) + " PREPARE a WRITE ";
    text.resize(message_limit - 2, 'x');
    return text + "\r\n";
}

std::string half_message(unsigned n)
{
    return large_message(n).substr(0, message_limit / 2);
}

/// Part of a message that does not end.
std::string endless_message(unsigned /*n*/)
{
    return std::string(message_limit, 'x');
}

/// The answer names the unknown statement, so that it is as long.
std::string unknown_statement(unsigned n)
{
    return "QUERY " + std::to_string(n) + " EXECUTE " +
           std::string(text_size, 'x') + " item\r\n";
}

std::string session_value(unsigned n)
{
    const auto number = std::to_string(n);
    return "QUERY " + number + " SET v" + number + ' ' +
           std::string(text_size, 'x') + "\r\n";
}

std::string prepared_name(unsigned n)
{
    const auto number = std::to_string(n);
    return "QUERY " + number + " PREPARE p" + number + " WRITE " +
           std::string(text_size, 'x') + "\r\n";
}

std::string unfinished_start(unsigned /*n*/)
{
    return "STARTU";
}

std::string unfinished_request(unsigned /*n*/)
{
    return "GET /metrics HTTP/1.1\r\nx: ";
}

std::string nothing(unsigned /*n*/)
{
    return {};
}

constexpr milliseconds none{0};

constexpr crowd_pattern patterns[] = {
    {"large-messages", true, &large_message, 1, 0, read_size, none, none},
    {"small-pieces", true, &large_message, 1, small_piece, read_size, none,
     none},
    {"over-limit", true, &endless_message, many_parts, medium_piece, read_size,
     none, none},
    {"sent-ahead", true, &unknown_statement, many, 0, 0, none, none},
    {"slow-readers", true, &unknown_statement, many, 0, 1, slow, none},
    {"slow-senders", true, &half_message, 1, 0, read_size, none, slow},
    {"half-way", true, &half_message, 1, 0, read_size, none, none},
    {"values", true, &session_value, many, 0, read_size, none, none},
    {"prepared", true, &prepared_name, many, 0, read_size, none, none},
    {"unstarted", false, &unfinished_start, 1, 0, read_size, none, none},
    {"idle", true, &nothing, 0, 0, read_size, none, none},
    {"http-silent", false, &nothing, 0, 0, read_size, none, none, true},
    {"http-slow", false, &unfinished_request, 1, 0, read_size, none, slow,
     true}};

} // namespace

const crowd_pattern* find_crowd_pattern(std::string_view name)
{
    const auto* found =
        std::find_if(std::begin(patterns), std::end(patterns),
                     [name](const auto& at) { return name == at.name; });
    return found == std::end(patterns) ? nullptr : found;
}

class client_crowd::client : public std::enable_shared_from_this<client>
{
public:
    client(asio::io_context& context, client_crowd& crowd,
           const crowd_pattern& pattern, const std::string& database)
        : socket_(context),
          timer_(context),
          read_timer_(context),
          redial_timer_(context),
          crowd_(crowd),
          pattern_(pattern)
    {
        if (pattern_.starts)
        {
            output_ = "STARTUP " + database + " -\r\n";
        }
    }

    void start(const tcp::endpoint& daemon)
    {
        daemon_ = daemon;
        crowd_.note_progress();
        dial();
    }

private:
    void dial()
    {
        socket_.async_connect(daemon_,
                              [self = shared_from_this()](error_code error)
                              {
                                  if (error)
                                  {
                                      self->redial();
                                      return;
                                  }
                                  self->connected();
                              });
    }

    void connected()
    {
        error_code ignored;
        socket_.set_option(tcp::no_delay(true), ignored);
        if (!pattern_.redials)
        {
            crowd_.note_progress();
        }
        send();
        if (pattern_.read != 0)
        {
            read();
        }
    }

    void send()
    {
        while (sent_ == output_.size())
        {
            if (next_ == pattern_.messages)
            {
                trickle();
                return;
            }
            output_ = pattern_.message(next_++);
            sent_ = 0;
        }
        const auto left = output_.size() - sent_;
        const auto size =
            pattern_.piece == 0 ? left : std::min(left, pattern_.piece);
        socket_.async_write_some(
            asio::buffer(output_.data() + sent_, size),
            [self = shared_from_this()](error_code error, std::size_t written)
            {
                if (!error)
                {
                    self->sent_ += written;
                    if (!self->pattern_.redials)
                    {
                        self->crowd_.note_progress();
                    }
                    self->send();
                }
            });
    }

    /// Connects again after a close, and sends the same; this is no progress.
    void redial()
    {
        if (!pattern_.redials)
        {
            return;
        }
        error_code ignored;
        socket_.close(ignored);
        timer_.cancel();
        redial_timer_.expires_after(slow);
        redial_timer_.async_wait(
            [self = shared_from_this()](error_code)
            {
                self->output_.clear();
                self->sent_ = 0;
                self->next_ = 0;
                self->dial();
            });
    }

    /// Sends further bytes one by one.
    void trickle()
    {
        if (pattern_.trickle == none)
        {
            return;
        }
        timer_.expires_after(pattern_.trickle);
        timer_.async_wait(
            [self = shared_from_this()](error_code stopped)
            {
                static constexpr char byte = 'x';
                if (stopped)
                {
                    return;
                }
                error_code error;
                asio::write(self->socket_, asio::buffer(&byte, 1), error);
                if (!error)
                {
                    self->trickle();
                }
            });
    }

    void read()
    {
        socket_.async_read_some(
            asio::buffer(input_, pattern_.read),
            [self = shared_from_this()](error_code error, std::size_t)
            {
                if (error)
                {
                    self->redial();
                    return;
                }
                self->read_later();
            });
    }

    void read_later()
    {
        if (pattern_.read_pause == none)
        {
            read();
            return;
        }
        read_timer_.expires_after(pattern_.read_pause);
        read_timer_.async_wait([self = shared_from_this()](error_code)
                               { self->read(); });
    }

    tcp::socket socket_;
    asio::steady_timer timer_;
    asio::steady_timer read_timer_;
    asio::steady_timer redial_timer_;
    tcp::endpoint daemon_;
    client_crowd& crowd_;
    const crowd_pattern& pattern_;
    std::string output_;
    std::size_t sent_ = 0;
    unsigned next_ = 0;
    std::array<char, read_size> input_{};
};

client_crowd::client_crowd(asio::io_context& context,
                           const tcp::endpoint& daemon,
                           const std::string& database,
                           const crowd_pattern& pattern, std::size_t clients,
                           std::function<void()> settled)
    : timer_(context), settled_(std::move(settled))
{
    for (std::size_t i = 0; i < clients; ++i)
    {
        clients_.push_back(
            std::make_shared<client>(context, *this, pattern, database));
        clients_.back()->start(daemon);
    }
    watch();
}

client_crowd::~client_crowd() = default;

void client_crowd::watch()
{
    timer_.expires_after(quiet_time);
    timer_.async_wait(
        [this](error_code)
        {
            if (std::exchange(progressed_, false))
            {
                watch();
                return;
            }
            settled_();
        });
}

} // namespace tanagerhoist::standin
