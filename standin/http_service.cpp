#include "standin/http_service.hpp"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <map>
#include <optional>
#include <utility>

namespace tanagerhoist::standin
{

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace
{

constexpr std::uint64_t max_body_bytes = 64ULL << 20U;

} // namespace

/// Owned by the service; connections hold weak references, as they may outlive
/// it.
class http_service::state : public std::enable_shared_from_this<state>
{
public:
    state(boost::asio::io_context& context, const tcp::endpoint& local,
          std::function<void(std::uint64_t)> closed)
        : acceptor(context, local), closed(std::move(closed))
    {
    }

    void accept();

    tcp::acceptor acceptor;
    std::map<std::string, handler> routes;
    std::function<void(std::uint64_t)> closed;
    std::uint64_t last_connection = 0;
};

namespace
{

/// One connection. Pending operations and response callbacks hold references
/// to it.
template <typename State>
class session : public std::enable_shared_from_this<session<State>>
{
public:
    session(tcp::socket socket, std::uint64_t number,
            std::weak_ptr<State> service)
        : stream_(std::move(socket)),
          number_(number),
          service_(std::move(service))
    {
    }

    ~session()
    {
        if (const auto service = service_.lock())
        {
            service->closed(number_);
        }
    }

    session(const session&) = delete;
    session& operator=(const session&) = delete;

    void read()
    {
        parser_.emplace();
        parser_->body_limit(max_body_bytes);
        http::async_read(stream_, buffer_, *parser_,
                         [self = this->shared_from_this()](
                             beast::error_code error, std::size_t /*bytes*/)
                         {
                             if (!error)
                             {
                                 self->dispatch();
                             }
                         });
    }

private:
    void dispatch()
    {
        const auto service = service_.lock();
        if (!service)
        {
            return;
        }
        auto request = parser_->release();
        keep_alive_ = request.keep_alive();
        const std::string target(request.target());
        const auto path = target.substr(0, target.find('?'));
        const auto found = service->routes.find(path);
        if (found == service->routes.end())
        {
            write({404, "{}"});
            return;
        }
        std::map<std::string, std::string> headers;
        for (const auto& field : request)
        {
            headers.emplace(field.name_string(), field.value());
        }
        found->second(
            {target, std::move(request.body()), number_, std::move(headers)},
            [self = this->shared_from_this()](http_response answer)
            { self->write(std::move(answer)); });
    }

    void write(http_response answer)
    {
        response_ = {};
        response_.version(11);
        response_.result(answer.status);
        response_.set(http::field::content_type, "application/json");
        for (const auto& [name, value] : answer.headers)
        {
            response_.set(name, value);
        }
        response_.keep_alive(keep_alive_);
        response_.body() = std::move(answer.body);
        response_.prepare_payload();
        http::async_write(stream_, response_,
                          [self = this->shared_from_this()](
                              beast::error_code error, std::size_t /*bytes*/)
                          {
                              if (!error && self->keep_alive_)
                              {
                                  self->read();
                              }
                          });
    }

    beast::tcp_stream stream_;
    std::uint64_t number_;
    std::weak_ptr<State> service_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    http::response<http::string_body> response_;
    bool keep_alive_ = true;
};

} // namespace

void http_service::state::accept()
{
    acceptor.async_accept(
        [weak = weak_from_this()](beast::error_code error, tcp::socket socket)
        {
            const auto self = weak.lock();
            if (!self || error == boost::asio::error::operation_aborted)
            {
                return;
            }
            if (!error)
            {
                socket.set_option(tcp::no_delay(true), error);
                std::make_shared<session<state>>(std::move(socket),
                                                 ++self->last_connection, weak)
                    ->read();
            }
            self->accept();
        });
}

http_service::http_service(boost::asio::io_context& context,
                           const tcp::endpoint& local,
                           std::function<void(std::uint64_t)> closed)
    : state_(std::make_shared<state>(context, local, std::move(closed)))
{
    state_->accept();
}

http_service::~http_service() = default;

void http_service::route(const std::string& path, handler run)
{
    state_->routes[path] = std::move(run);
}

tcp::endpoint http_service::local() const
{
    return state_->acceptor.local_endpoint();
}

} // namespace tanagerhoist::standin
