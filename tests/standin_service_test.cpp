#include "standin/database_service.hpp"
#include "standin/json.hpp"
#include "standin/platform_service.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tanagerhoist::standin
{

namespace
{

using boost::asio::ip::tcp;

/// Fails a test that gets no answer instead of blocking; no test measures it.
constexpr milliseconds answer_timeout{10000};
constexpr std::uint64_t await_ms = 10000;

tcp::endpoint loopback()
{
    return {boost::asio::ip::address_v4::loopback(), 0};
}

proto::DatabaseCall write_call(const std::string& id, const std::string& text,
                               proto::TransactionStep step)
{
    proto::DatabaseCall call;
    call.mutable_execute()->set_request_id(id);
    call.mutable_execute()->set_kind(proto::STATEMENT_WRITE);
    call.mutable_execute()->set_term(1);
    call.mutable_execute()->set_statement(text);
    call.mutable_execute()->set_step(step);
    return call;
}

} // namespace

/// Runs the services on loopback and on the thread of the test.
class standin_service_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(standin_service_test);
    CPPUNIT_TEST(database_write_reaches_lagging_replica);
    CPPUNIT_TEST(closed_database_connection_rolls_back_transaction);
    CPPUNIT_TEST(frozen_database_runs_calls_after_resuming);
    CPPUNIT_TEST(lost_platform_reply_closes_connection);
    CPPUNIT_TEST(malformed_call_is_rejected);
    CPPUNIT_TEST(closed_connection_is_reported);
    CPPUNIT_TEST_SUITE_END();

public:
    void database_write_reaches_lagging_replica()
    {
        start_group(milliseconds(30));
        http_client primary(context_, servers_[0]->local(), answer_timeout);
        http_client replica(context_, servers_[1]->local(), answer_timeout);
        const auto written =
            call(primary, write_call("r1", "PUT k v", proto::TRANSACTION_NONE));
        CPPUNIT_ASSERT(written.execute().outcome() == proto::DATABASE_OK);
        proto::DatabaseCall status;
        *status.mutable_status()->mutable_await() = written.execute().point();
        status.mutable_status()->set_wait_ms(await_ms);
        CPPUNIT_ASSERT(call(replica, status).status().holds());
        proto::DatabaseCall read;
        read.mutable_execute()->set_statement("GET k");
        CPPUNIT_ASSERT(call(replica, read).execute().value() == "v");
    }

    void closed_database_connection_rolls_back_transaction()
    {
        start_group(milliseconds(0));
        http_client client(context_, servers_[0]->local(), answer_timeout);
        call(client, write_call("", "PUT k v", proto::TRANSACTION_BEGIN));
        client.close();
        const auto reply = call(
            client, write_call("r1", "PUT l v", proto::TRANSACTION_COMMIT));
        CPPUNIT_ASSERT(reply.execute().outcome() ==
                       proto::DATABASE_NO_TRANSACTION);
        const auto dump = from_json<proto::standin::DatabaseDump>(
            post(client, "/dump", "").value());
        CPPUNIT_ASSERT(dump.value().store().empty());
    }

    void frozen_database_runs_calls_after_resuming()
    {
        start_group(milliseconds(0));
        http_client client(context_, servers_[0]->local(), answer_timeout);
        http_client control(context_, servers_[0]->local(), answer_timeout);
        post(control, "/fault", R"({"frozen":true})");
        std::optional<std::string> answer;
        client.post(
            "/call",
            to_json(write_call("r1", "PUT k v", proto::TRANSACTION_NONE)),
            [&answer](std::optional<std::string> body)
            { answer = std::move(body); });
        // Enough iterations of the event loop for the call to arrive.
        for (int turn = 0; turn < 20; ++turn)
        {
            const auto dump = from_json<proto::standin::DatabaseDump>(
                post(control, "/dump", "").value());
            CPPUNIT_ASSERT(dump.value().store().empty());
        }
        CPPUNIT_ASSERT(!answer);
        post(control, "/fault", R"({"frozen":false})");
        run_while([&client] { return client.busy(); });
        CPPUNIT_ASSERT(from_json<proto::DatabaseReply>(answer.value())
                           .value()
                           .execute()
                           .outcome() == proto::DATABASE_OK);
    }

    void lost_platform_reply_closes_connection()
    {
        platform_service service(context_, loopback(), {});
        http_client client(context_, service.local(), answer_timeout);
        post(client, "/fault", R"({"lose_replies":1})");
        const std::string write =
            R"({"tableWrite":{"row":"head","value":"YQ=="}})";
        CPPUNIT_ASSERT(!post(client, "/call", write));
        const auto again = from_json<proto::PlatformReply>(
            post(client, "/call", write).value());
        CPPUNIT_ASSERT(again.value().outcome() == proto::PLATFORM_CONFLICT);
        CPPUNIT_ASSERT(again.value().version() == 1);
    }

    void malformed_call_is_rejected()
    {
        platform_service service(context_, loopback(), {});
        http_client client(context_, service.local(), answer_timeout);
        CPPUNIT_ASSERT(!post(client, "/call", "{"));
        CPPUNIT_ASSERT(!post(client, "/elsewhere", "{}"));
        CPPUNIT_ASSERT(post(client, "/call", R"({"list":{}})"));
    }

    void closed_connection_is_reported()
    {
        std::uint64_t closed = 0;
        std::uint64_t seen = 0;
        http_service service(context_, loopback(),
                             [&closed](std::uint64_t connection)
                             { closed = connection; });
        service.route("/",
                      [&seen](const http_request& request,
                              const http_service::response_callback& answer)
                      {
                          seen = request.connection;
                          answer({200, "{}"});
                      });
        http_client client(context_, service.local(), answer_timeout);
        CPPUNIT_ASSERT(post(client, "/", "{}"));
        CPPUNIT_ASSERT(closed == 0);
        client.close();
        while (closed == 0 && context_.run_one_for(answer_timeout) != 0)
        {
        }
        CPPUNIT_ASSERT(seen != 0);
        CPPUNIT_ASSERT(closed == seen);
    }

private:
    void start_group(milliseconds lag)
    {
        servers_.clear();
        const std::vector<std::string> names = {"s1", "s2", "s3"};
        for (const auto& name : names)
        {
            database_service_options options;
            options.name = name;
            options.group = names;
            options.listen = loopback();
            options.primary = name == names.front();
            options.lag = lag;
            servers_.push_back(
                std::make_unique<database_service>(context_, options));
        }
        for (const auto& server : servers_)
        {
            for (std::size_t i = 0; i < names.size(); ++i)
            {
                if (servers_[i] != server)
                {
                    server->connect(names[i], servers_[i]->local());
                }
            }
        }
    }

    template <typename Condition>
    void run_while(const Condition& condition)
    {
        while (condition() && context_.run_one() != 0)
        {
        }
    }

    std::optional<std::string> post(http_client& client,
                                    const std::string& target,
                                    const std::string& body)
    {
        std::optional<std::string> answer;
        client.post(target, body,
                    [&answer](std::optional<std::string> reply)
                    { answer = std::move(reply); });
        run_while([&client] { return client.busy(); });
        return answer;
    }

    proto::DatabaseReply call(http_client& client,
                              const proto::DatabaseCall& call)
    {
        const auto body = post(client, "/call", to_json(call));
        return from_json<proto::DatabaseReply>(body.value()).value();
    }

    boost::asio::io_context context_;
    std::vector<std::unique_ptr<database_service>> servers_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(standin_service_test);

} // namespace tanagerhoist::standin
