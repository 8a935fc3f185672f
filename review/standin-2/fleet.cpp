#include "fleet.hpp"

#include <boost/asio/detached.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <sstream>
#include <utility>

namespace tanagerhoist::review
{
namespace
{

namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr const char* program = "target/tools/tanagerhoistd";
constexpr const char* settings_template = "deploy/daemon.ini";
constexpr milliseconds reap_interval{10};
constexpr milliseconds restart_delay{600};
constexpr milliseconds probe_interval{1000};
constexpr milliseconds probe_timeout{900};
constexpr unsigned most_misses = 2;

std::uint16_t free_port()
{
    asio::io_context context;
    const tcp::acceptor held(
        context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    return held.local_endpoint().port();
}

void replace_all(std::string& text, const std::string& from,
                 const std::string& to)
{
    for (auto at = text.find(from); at != std::string::npos;
         at = text.find(from, at + to.size()))
    {
        text.replace(at, from.size(), to);
    }
}

/// Fills in the template, whose sections for absent values are left out.
std::string fill_in(const placeholders& settings, const std::string& zones)
{
    std::ifstream file(settings_template);
    std::string text;
    bool in_zones = false;
    for (std::string line; std::getline(file, line);)
    {
        in_zones = in_zones || line == "{{#zones}}";
        if (!in_zones && line.rfind("{{#", 0) != 0)
        {
            text += line + '\n';
        }
    }
    for (const auto& [name, value] : settings)
    {
        replace_all(text, "{{" + name + "}}", value);
    }
    return text + zones;
}

} // namespace

daemon::daemon(asio::io_context& context, record& events, std::string folder,
               placeholders settings)
    : context_(context),
      events_(events),
      folder_(std::move(folder)),
      settings_(std::move(settings)),
      name_(settings_.at("nodeName")),
      sessions_port_(free_port()),
      readiness_port_(free_port()),
      peer_port_(free_port())
{
    const std::string ip = "127.0.0.1:";
    settings_["listen.frontend"] = ip + std::to_string(sessions_port_);
    settings_["listen.readiness"] = ip + std::to_string(readiness_port_);
    settings_["internalPorts.0"] = std::to_string(peer_port_);
}

daemon::~daemon()
{
    if (process_ != 0)
    {
        ::kill(process_, SIGKILL);
        ::waitpid(process_, nullptr, 0);
    }
}

void daemon::start()
{
    const auto file = folder_ + '/' + name_ + ".ini";
    const auto log = folder_ + '/' + name_ + ".log";
    std::ofstream(file) << fill_in(settings_, "\n[data_centre " +
                                                  settings_.at("zone") +
                                                  "]\nregion = r\n");
    settings_["bootstrap"] = "false";
    process_ = ::fork();
    if (process_ == 0)
    {
        const int out = ::open(log.c_str(),
                               O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the case
        ::execl(program, program, file.c_str(), nullptr);
        ::_exit(1);
    }
    events_.write(name_, "started");
    reap();
}

void daemon::send_signal(int number)
{
    events_.write(name_, "signal " + std::to_string(number));
    ::kill(process_, number);
}

/// Starts the process again after a short delay when it has ended.
void daemon::reap()
{
    auto timer = std::make_shared<asio::steady_timer>(context_, reap_interval);
    timer->async_wait(
        [this, timer](const error_code&)
        {
            if (::waitpid(process_, nullptr, WNOHANG) != process_)
            {
                reap();
                return;
            }
            process_ = 0;
            events_.write(name_, "ended");
            timer->expires_after(restart_delay);
            timer->async_wait([this, timer](const error_code&) { start(); });
        });
}

balancer::balancer(asio::io_context& context, record& events,
                   const std::vector<daemon*>& daemons)
    : context_(context), events_(events)
{
    for (auto* one : daemons)
    {
        targets_.push_back({one});
    }
    probe_all();
}

bool balancer::are_all_ready() const
{
    return std::all_of(targets_.begin(), targets_.end(),
                       [](const target& one) { return one.misses == 0; });
}

const daemon& balancer::choose(std::size_t hash) const
{
    std::vector<const daemon*> in_rotation;
    for (const auto& one : targets_)
    {
        if (one.misses < most_misses)
        {
            in_rotation.push_back(one.at);
        }
    }
    if (in_rotation.size() * 2 >= targets_.size() && !in_rotation.empty())
    {
        return *in_rotation[hash % in_rotation.size()];
    }
    return *targets_[hash % targets_.size()].at; // all of the zone's daemons
}

void balancer::probe_all()
{
    for (auto& one : targets_)
    {
        asio::spawn(
            context_,
            [this, &one](const asio::yield_context& yield)
            { probe(one, yield); },
            asio::detached);
    }
    auto timer = std::make_shared<asio::steady_timer>(context_, probe_interval);
    timer->async_wait([this, timer](const error_code&) { probe_all(); });
}

void balancer::probe(target& of, const asio::yield_context& yield)
{
    bool ready = false;
    try
    {
        beast::tcp_stream stream(context_);
        stream.expires_after(probe_timeout);
        stream.async_connect(
            {asio::ip::make_address("127.0.0.1"), of.at->readiness_port()},
            yield);
        http::request<http::empty_body> request(http::verb::get, "/api/ready",
                                                11);
        request.set(http::field::host, "ready");
        http::async_write(stream, request, yield);
        beast::flat_buffer buffer;
        http::response<http::string_body> response;
        http::async_read(stream, buffer, response, yield);
        ready = response.result_int() == 200;
    }
    catch (const boost::system::system_error&)
    {
        ready = false;
    }
    const auto before = of.misses;
    of.misses = ready ? 0 : before + 1;
    if ((before < most_misses) != (of.misses < most_misses))
    {
        events_.write("balancer", of.at->name() + (of.misses < most_misses
                                                       ? " in rotation"
                                                       : " out of rotation"));
    }
}

} // namespace tanagerhoist::review
