#include "tanagerhoist/adapter/http_platform_client.hpp"

#include "http_idle.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <google/protobuf/util/json_util.h>

#include <optional>

namespace tanagerhoist
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace
{

/// Largest accepted response body, in bytes.
constexpr std::uint64_t max_answer_body = std::uint64_t{64} * 1024 * 1024;

constexpr unsigned http_version = 11;

using answer_parser = http::response_parser<http::string_body>;

std::optional<proto::PlatformReply> parse_reply(const std::string& json)
{
    proto::PlatformReply reply;
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = true;
    return google::protobuf::util::JsonStringToMessage(json, &reply, options)
                   .ok()
               ? std::optional(reply)
               : std::nullopt;
}

} // namespace

/// One persistent connection. Runs asynchronous operations to completion one at
/// a time, because the stream's timeout does not apply to synchronous ones.
class http_platform_client::connection
{
public:
    connection(const std::string& address, std::uint16_t port,
               milliseconds timeout)
        : stream_(context_),
          endpoint_(asio::ip::make_address(address), port),
          timeout_(timeout)
    {
    }

    platform_answer call(const proto::PlatformCall& call)
    {
        std::string json;
        if (!google::protobuf::util::MessageToJsonString(call, &json).ok())
        {
            return {};
        }
        stream_.expires_after(timeout_);
        if (!is_open() && !connect())
        {
            close();
            return {};
        }
        platform_answer answer{exchange(std::move(json)), true};
        if (!answer.reply)
        {
            close();
        }
        return answer;
    }

private:
    bool is_open()
    {
        auto& socket = stream_.socket();
        return socket.is_open() && is_quiet(socket);
    }

    bool connect()
    {
        close();
        beast::error_code result = asio::error::would_block;
        stream_.async_connect(endpoint_, [&result](beast::error_code error)
                              { result = error; });
        run();
        if (!result)
        {
            stream_.socket().non_blocking(true, result); // for is_open()
        }
        return !result;
    }

    std::optional<proto::PlatformReply> exchange(std::string json)
    {
        http::request<http::string_body> request(http::verb::post, "/call",
                                                 http_version);
        request.set(http::field::host, endpoint_.address().to_string());
        request.set(http::field::content_type, "application/json");
        request.body() = std::move(json);
        request.prepare_payload();
        if (!write(request))
        {
            return std::nullopt;
        }
        std::optional<answer_parser> parser;
        do
        {
            parser.emplace();
            parser->body_limit(max_answer_body);
            if (!read(*parser))
            {
                return std::nullopt;
            }
        } while (is_interim(parser->get().result_int()));
        // If more bytes follow, this may be the answer to an earlier call.
        if (buffer_.size() > 0 || parser->get().result() != http::status::ok)
        {
            return std::nullopt;
        }
        auto reply = parse_reply(parser->get().body());
        if (!parser->get().keep_alive())
        {
            close();
        }
        return reply;
    }

    bool write(http::request<http::string_body>& request)
    {
        beast::error_code result = asio::error::would_block;
        http::async_write(stream_, request,
                          [&result](beast::error_code error,
                                    std::size_t /*bytes*/) { result = error; });
        run();
        return !result;
    }

    bool read(answer_parser& parser)
    {
        beast::error_code result = asio::error::would_block;
        http::async_read(stream_, buffer_, parser,
                         [&result](beast::error_code error,
                                   std::size_t /*bytes*/) { result = error; });
        run();
        return !result;
    }

    void run()
    {
        context_.restart();
        context_.run();
    }

    void close()
    {
        beast::error_code ignored;
        stream_.socket().close(ignored);
        buffer_.clear();
    }

    asio::io_context context_{1};
    beast::tcp_stream stream_;
    tcp::endpoint endpoint_;
    milliseconds timeout_;
    beast::flat_buffer buffer_;
};

http_platform_client::http_platform_client(const std::string& address,
                                           std::uint16_t port,
                                           milliseconds timeout)
    : connection_(std::make_unique<connection>(address, port, timeout))
{
}

http_platform_client::~http_platform_client() = default;

platform_answer http_platform_client::call(const proto::PlatformCall& call)
{
    return connection_->call(call);
}

} // namespace tanagerhoist
