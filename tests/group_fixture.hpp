#ifndef TANAGERHOIST_TESTS_GROUP_FIXTURE_HPP
#define TANAGERHOIST_TESTS_GROUP_FIXTURE_HPP

#include "standin/database_group.hpp"
#include "tanagerhoist/core/log_point.hpp"

#include <cppunit/TestAssert.h>

#include <cstdint>
#include <string>

namespace tanagerhoist::standin
{

constexpr std::uint64_t first_connection = 1;
constexpr std::uint64_t other_connection = 2;

/// Longer than two heartbeat rounds in a group without replication lag.
constexpr milliseconds replication_round{20};

/// A group of three servers, the first of which is primary of term 1, with
/// helpers for the calls.
class group_fixture
{
public:
    proto::ExecuteReply execute(const std::string& server,
                                const proto::ExecuteRequest& request,
                                std::uint64_t connection = first_connection)
    {
        proto::DatabaseCall call;
        *call.mutable_execute() = request;
        return servers.handle(now, server, connection, call).value().execute();
    }

    proto::ExecuteReply write(const std::string& server, std::uint64_t term,
                              const std::string& id, const std::string& text)
    {
        proto::ExecuteRequest request;
        request.set_request_id(id);
        request.set_kind(proto::STATEMENT_WRITE);
        request.set_term(term);
        request.set_statement(text);
        return execute(server, request);
    }

    proto::ExecuteReply read(const std::string& server, const std::string& key)
    {
        proto::ExecuteRequest request;
        request.set_statement("GET " + key);
        return execute(server, request);
    }

    proto::ExecuteReply step(std::uint64_t connection,
                             proto::TransactionStep step,
                             const std::string& text,
                             const std::string& id = "")
    {
        proto::ExecuteRequest request;
        request.set_request_id(id);
        request.set_kind(proto::STATEMENT_WRITE);
        request.set_term(1);
        request.set_statement(text);
        request.set_step(step);
        return execute("s1", request, connection);
    }

    proto::StatusReply status(const std::string& server,
                              const proto::LogPoint& await = {})
    {
        proto::DatabaseCall call;
        *call.mutable_status()->mutable_await() = await;
        return servers.handle(now, server, 0, call).value().status();
    }

    proto::SealReply seal(const std::string& server, std::uint64_t term)
    {
        proto::DatabaseCall call;
        call.mutable_seal()->set_term(term);
        return servers.handle(now, server, 0, call).value().seal();
    }

    proto::PromoteReply promote(const std::string& server, std::uint64_t term)
    {
        proto::DatabaseCall call;
        call.mutable_promote()->set_term(term);
        return servers.handle(now, server, 0, call).value().promote();
    }

    /// Seals s2 and s3, promotes the one whose log ends at the higher point (s2
    /// if equal) and returns its name.
    std::string replace_primary(std::uint64_t term)
    {
        const auto two = seal("s2", term);
        const auto three = seal("s3", term);
        std::string best = two.last() < three.last() ? "s3" : "s2";
        CPPUNIT_ASSERT(promote(best, term).accepted());
        return best;
    }

    /// Advances the clock by `time` in steps of one millisecond.
    void pass(milliseconds time)
    {
        for (; time.count() > 0; --time)
        {
            now += milliseconds(1);
            servers.advance(now);
        }
    }

    moment now{};
    database_group servers{moment{}, {"s1", "s2", "s3"}};
};

} // namespace tanagerhoist::standin

#endif
