#include "standin/wire_rig.hpp"

#include "standin/base64.hpp"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>

#include <utility>

namespace tanagerhoist::standin
{
namespace
{

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;
using boost::system::error_code;

constexpr milliseconds store_timeout{2000};
constexpr milliseconds retry_pause{100};
constexpr milliseconds settle_time{300}; ///< for what still runs at the end
constexpr unsigned slots = 5;
constexpr unsigned max_connections = 60;
constexpr unsigned settings_version = 10;
constexpr unsigned statement_timeout = 1000; // ms
constexpr unsigned target_latency = 200;     // ms
constexpr unsigned max_staleness = 1500;     // ms

constexpr const char* group_name = "g";
constexpr const char* server_names[] = {"s1", "s2", "s3"};

struct wire_route
{
    const char* database;
    const char* type;
};

constexpr wire_route routes[] = {{"one", "primary"},
                                 {"two", "bounded_staleness"},
                                 {"three", "read_your_writes"}};

json::object row(const std::string& table, const std::string& key,
                 const json::object& value)
{
    return {{"table", table},
            {"part", ""},
            {"key", key},
            {"value", encode_bytes(json::serialize(value))}};
}

json::object server_entry(const wire_server& server)
{
    return {{"backend", group_name},
            {"address", server.address()},
            {"zone", "a"},
            {"slots", slots},
            {"state", "ready"},
            {"dbRole", server.is_primary() ? "primary" : "replica"},
            {"born", 1}};
}

json::object configuration()
{
    json::array entries;
    for (const auto& route : routes)
    {
        entries.emplace_back(json::object{{"database", route.database},
                                          {"backend", group_name},
                                          {"type", route.type},
                                          {"timeoutMs", statement_timeout},
                                          {"targetLatencyMs", target_latency},
                                          {"maxStalenessMs", max_staleness},
                                          {"public", true}});
    }
    const json::object service{{"name", group_name},
                               {"maxConns", max_connections}};
    return {{"version", settings_version},
            {"routes", std::move(entries)},
            {"services", json::array{service}},
            {"tenants", json::array{}}};
}

/// One question whether a daemon is ready. Pending operations hold it.
class readiness_probe : public std::enable_shared_from_this<readiness_probe>
{
public:
    readiness_probe(asio::io_context& context,
                    std::function<void(bool ready)> answered)
        : socket_(context), answered_(std::move(answered))
    {
    }

    void ask(const tcp::endpoint& daemon)
    {
        socket_.async_connect(daemon, [self = shared_from_this()](error_code e)
                              { e ? self->answered_(false) : self->send(); });
    }

private:
    void send()
    {
        asio::async_write(
            socket_, asio::buffer(request),
            [self = shared_from_this()](error_code error, std::size_t)
            { error ? self->answered_(false) : self->read(); });
    }

    void read()
    {
        asio::async_read_until(
            socket_, asio::dynamic_buffer(input_), "\r\n",
            [self = shared_from_this()](error_code error, std::size_t)
            {
                const bool ready =
                    self->input_.find(" 200 ") < self->input_.find("\r\n");
                self->answered_(!error && ready);
            });
    }

    static constexpr std::string_view request =
        "GET /api/ready HTTP/1.1\r\nHost: daemon\r\nConnection: close\r\n\r\n";

    tcp::socket socket_;
    std::string input_;
    std::function<void(bool)> answered_;
};

} // namespace

wire_rig::wire_rig(asio::io_context& context, const wire_rig_options& options,
                   const wire_mode& mode, std::function<void()> done)
    : context_(context),
      options_(options),
      mode_(mode),
      ledger_(options.most_cases),
      group_{context, mode, ledger_, wire_random(options.seed)},
      store_(context, options.store, store_timeout),
      timer_(context),
      done_(std::move(done))
{
    auto listen = options.servers;
    for (const auto* name : server_names)
    {
        servers_.push_back(std::make_unique<wire_server>(
            group_, name, servers_.empty(), listen));
        listen.port(static_cast<std::uint16_t>(listen.port() + 1));
    }
    write_rows();
}

std::string wire_rig::rows() const
{
    json::array puts;
    for (const auto& server : servers_)
    {
        puts.emplace_back(
            row("servers", server->name(), server_entry(*server)));
    }
    puts.emplace_back(row("op", "config", configuration()));
    return json::serialize(json::object{{"puts", std::move(puts)}});
}

void wire_rig::write_rows()
{
    store_.post("/api/rows-tx", rows(),
                [this](const std::optional<std::string>& answer)
                {
                    if (answer)
                    {
                        probe();
                        return;
                    }
                    later(retry_pause, [this] { write_rows(); });
                });
}

void wire_rig::probe()
{
    const auto answered = [this](bool ready)
    { ready ? begin() : later(retry_pause, [this] { probe(); }); };
    std::make_shared<readiness_probe>(context_, answered)
        ->ask(options_.readiness);
}

void wire_rig::begin()
{
    wire_clients_options clients;
    clients.daemon = options_.daemon;
    for (const auto& route : routes)
    {
        clients.databases.emplace_back(route.database);
    }
    clients.clients = options_.clients;
    clients.statements = options_.statements;
    clients.seed = options_.seed;
    const auto ended = [this]
    {
        later(settle_time,
              [this]
              {
                  ledger_.finish();
                  done_();
              });
    };
    clients_.emplace(context_, std::move(clients), mode_, ledger_, ended);
}

void wire_rig::later(milliseconds delay, std::function<void()> work)
{
    timer_.expires_after(delay);
    timer_.async_wait(
        [work = std::move(work)](error_code error)
        {
            if (!error)
            {
                work();
            }
        });
}

} // namespace tanagerhoist::standin
