// Property tests of the line protocol: random fields are written, sent in
// random pieces over a connection, read and compared.
#include "platform/line_protocol.hpp"
#include "tanagerhoist/adapter/line_stream.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace
{

using namespace tanagerhoist;
namespace asio = boost::asio;
using asio::ip::tcp;
using platform::client_line;
using platform::server_line;

constexpr char fixed_parameters[] =
    "seed=20261207 max_success=500 max_size=60 verbose_progress=0";
constexpr std::size_t limit = 4096; // bytes
constexpr std::string_view line_end = "\r\n";

std::uint64_t lines_sent = 0;

/// Sends `bytes` in random pieces and returns the lines that arrive.
std::vector<std::string> transfer(const std::string& bytes)
{
    asio::io_context context;
    tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    tcp::socket peer(context);
    peer.connect(acceptor.local_endpoint());
    peer.set_option(tcp::no_delay(true));
    const auto stream = std::make_shared<line_stream>(acceptor.accept(), limit);
    std::vector<std::string> lines;
    stream->start({[&lines](std::string_view line)
                   { lines.emplace_back(line); },
                   [](stream_end) {},
                   {}});
    const auto sizes =
        *rc::gen::nonEmpty(rc::gen::container<std::vector<std::size_t>>(
            rc::gen::inRange<std::size_t>(1, 12)));
    std::string_view rest = bytes;
    for (std::size_t i = 0; !rest.empty(); ++i)
    {
        const auto size = std::min(sizes[i % sizes.size()], rest.size());
        asio::write(peer, asio::buffer(rest.data(), size));
        rest.remove_prefix(size);
        while (context.poll() != 0)
        {
        }
    }
    stream->abort();
    lines_sent += lines.size();
    return lines;
}

/// A byte that often has a meaning to a reader of lines.
rc::Gen<char> any_byte()
{
    return rc::gen::weightedOneOf<char>(
        {{1, rc::gen::arbitrary<char>()},
         {2, rc::gen::element('\r', '\n', ' ', '\0', '\t', '\x7f')},
         {3, rc::gen::inRange('a', 'z')}});
}

rc::Gen<std::string> any_bytes()
{
    return rc::gen::container<std::string>(any_byte());
}

/// The last field of a message: anything but CR LF.
rc::Gen<std::string> last_field()
{
    return rc::gen::suchThat(
        any_bytes(), [](const std::string& text)
        { return text.find(line_end) == std::string::npos; });
}

/// Any other field: not empty, without a blank.
rc::Gen<std::string> middle_field()
{
    return rc::gen::map(last_field(),
                        [](std::string text)
                        {
                            std::replace(text.begin(), text.end(), ' ', '_');
                            return text.empty() ? std::string("f") : text;
                        });
}

/// A signature, which has no control byte either.
rc::Gen<std::string> signature()
{
    return rc::gen::map(middle_field(),
                        [](std::string text)
                        {
                            for (char& byte : text)
                            {
                                const auto code =
                                    static_cast<unsigned char>(byte);
                                byte = code < ' ' || code == 0x7f ? '.' : byte;
                            }
                            return text;
                        });
}

/// Without its line end, which must be the only one.
std::string content(const std::string& line)
{
    RC_ASSERT(line.size() >= line_end.size());
    const auto size = line.size() - line_end.size();
    RC_ASSERT(line.find(line_end) == size);
    return line.substr(0, size);
}

/// Splits off the first word.
std::pair<std::string, std::string> split(const std::string& text)
{
    const auto blank = text.find(' ');
    return blank == std::string::npos
               ? std::make_pair(text, std::string())
               : std::make_pair(text.substr(0, blank), text.substr(blank + 1));
}

void check_client_lines()
{
    const auto database = *middle_field();
    const auto key = *last_field();
    const auto id = *middle_field();
    const auto text = *last_field();
    const auto lines =
        transfer("STARTUP " + database + ' ' + key + "\r\nQUERY " + id + ' ' +
                 text + "\r\nTERMINATE\r\n");
    RC_ASSERT(lines.size() == 3U);
    const auto start = platform::parse_client_line(lines[0]);
    RC_ASSERT(start.what == client_line::kind::start);
    RC_ASSERT(start.first == database);
    RC_ASSERT(start.second == key);
    const auto query = platform::parse_client_line(lines[1]);
    RC_ASSERT(query.what == client_line::kind::query);
    RC_ASSERT(query.first == id);
    RC_ASSERT(query.second == text);
    RC_ASSERT(platform::parse_client_line(lines[2]).what ==
              client_line::kind::end);
}

/// Reads, writes and commits reach a server as the client sent them.
void check_forwarded_statements()
{
    const auto word = *rc::gen::element<std::string>("READ ", "WRITE ");
    const auto text = word + *middle_field() +
                      *rc::gen::element<std::string>("", " ", "  ") +
                      *last_field();
    RC_PRE(text.find(line_end) == std::string::npos);
    server_statement sent;
    sent.query_id = *middle_field();
    sent.what = platform::parse_statement(text);
    RC_ASSERT(sent.what.kind != statement_kind::malformed);
    const auto lines = transfer(platform::query_line(sent));
    RC_ASSERT(lines.size() == 1U);
    RC_ASSERT(lines[0] == "QUERY " + sent.query_id + ' ' + text);
    sent.after = log_position{*rc::gen::arbitrary<std::uint64_t>(),
                              *rc::gen::arbitrary<std::uint64_t>()};
    RC_ASSERT(content(platform::query_line(sent)) ==
              "QUERY " + sent.query_id + " AFTER " +
                  platform::to_text(*sent.after) + ' ' + text);
}

/// Only the prepared name of a statement changes on its way to a server.
void check_renamed_statements()
{
    const auto rest =
        *rc::gen::element<std::string>("", " ", "  ", " a ") + *last_field();
    RC_PRE(rest.empty() || rest.front() == ' ');
    server_statement sent;
    sent.query_id = "q";
    sent.what = platform::parse_statement("EXECUTE " + *middle_field() + rest);
    RC_ASSERT(sent.what.kind == statement_kind::execute);
    sent.what.name = "p17";
    const auto lines = transfer(platform::query_line(sent));
    RC_ASSERT(lines.size() == 1U);
    RC_ASSERT(lines[0] == "QUERY q EXECUTE p17" + rest);
}

/// Values and shapes reach a server as the client sent them.
void check_repeated_state()
{
    const auto name = *middle_field();
    const auto value = *last_field();
    server_statement sent;
    sent.what = platform::parse_statement("SET " + name + ' ' + value);
    RC_ASSERT(content(platform::query_line(sent)) ==
              "QUERY - SET " + name + ' ' + value);
    RC_PRE(!value.empty());
    sent.what =
        platform::parse_statement("PREPARE " + name + " WRITE " + value);
    RC_ASSERT(content(platform::query_line(sent)) ==
              "QUERY - PREPARE " + name + " WRITE " + value);
}

void check_answers()
{
    const auto row = *last_field();
    const auto signed_with = *signature();
    const auto text = *last_field();
    const auto error = *rc::gen::element(
        session_error::busy, session_error::lagging, session_error::failed,
        session_error::no_statement, session_error::too_large);
    const auto state =
        *rc::gen::element(transaction_state::none, transaction_state::open,
                          transaction_state::failed);
    const log_position position{*rc::gen::arbitrary<std::uint64_t>(),
                                *rc::gen::arbitrary<std::uint64_t>()};
    const auto lines = transfer(platform::row_line(row) +
                                platform::complete_line(signed_with) +
                                platform::error_line(error, text) +
                                platform::ready_line(state, position) +
                                platform::ready_line(state, std::nullopt));
    RC_ASSERT(lines.size() == 5U);
    std::vector<server_line> read;
    read.reserve(lines.size());
    for (const auto& line : lines)
    {
        read.push_back(platform::parse_server_line(line));
    }
    RC_ASSERT(read[0].what == server_line::kind::row);
    RC_ASSERT(read[0].text == row);
    RC_ASSERT(read[1].what == server_line::kind::complete);
    RC_ASSERT(read[1].text == signed_with);
    RC_ASSERT(read[2].what == server_line::kind::error);
    RC_ASSERT(read[2].error == error);
    RC_ASSERT(read[2].text == text);
    RC_ASSERT(read[3].what == server_line::kind::ready);
    RC_ASSERT(read[3].state == state);
    RC_ASSERT(read[3].position == position);
    RC_ASSERT(read[4].what == server_line::kind::ready);
    RC_ASSERT(!read[4].position);
}

void check_startup()
{
    const auto group = *middle_field();
    const auto workspace = *middle_field();
    const auto server = *middle_field();
    const auto lines = transfer(platform::start_line(group, workspace, server));
    RC_ASSERT(lines.size() == 1U);
    const auto [word, names] = split(lines[0]);
    const auto [first, others] = split(names);
    const auto [second, third] = split(others);
    RC_ASSERT(word == "STARTUP");
    RC_ASSERT(first == group);
    RC_ASSERT(second == workspace);
    RC_ASSERT(third == server);
}

/// Whatever the fields hold, each function writes one line.
void check_line_ends()
{
    const auto text =
        *rc::gen::element<std::string>("", "\r", "\n") + *any_bytes() +
        *rc::gen::element<std::string>("", "\r\n", "\r") + *any_bytes();
    content(platform::row_line(text));
    content(platform::complete_line(text));
    content(platform::error_line(session_error::failed, text));
    content(platform::start_line(text, text, text));
    for (const auto kind :
         {statement_kind::read, statement_kind::set, statement_kind::prepare,
          statement_kind::execute, statement_kind::deallocate})
    {
        server_statement sent;
        sent.query_id = text;
        sent.what = {kind, text, text, false, text};
        content(platform::query_line(sent));
    }
}

struct property
{
    const char* name;
    void (*check)();
};

constexpr property properties[] = {
    {"a client's lines are read as written", check_client_lines},
    {"reads and writes are forwarded unchanged", check_forwarded_statements},
    {"of a prepared statement only the name changes", check_renamed_statements},
    {"values and shapes are repeated unchanged", check_repeated_state},
    {"answers are read as written", check_answers},
    {"names of a startup are read as written", check_startup},
    {"no field ends a line", check_line_ends}};

} // namespace

int main()
{
    setenv("RC_PARAMS", fixed_parameters, 0);
    int passed = 0;
    int failed = 0;
    for (const property& each : properties)
    {
        ++(rc::check(each.name, each.check) ? passed : failed);
    }
    std::cout << lines_sent << " lines\n"
              << passed << " passed, " << failed << " failed\n";
    return failed == 0 ? 0 : 1;
}
