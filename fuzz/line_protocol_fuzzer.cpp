#include "platform/line_protocol.hpp"

#include <cstdint>
#include <cstdlib>
#include <string_view>

namespace
{

using namespace tanagerhoist;

/// Checks that a parsed statement, once serialized, parses to the same kind.
void check_statement(std::string_view line)
{
    const auto read = platform::parse_statement(line);
    if (read.kind == statement_kind::malformed ||
        line.find_first_of("\r\n") != std::string_view::npos)
    {
        return;
    }
    server_statement sent;
    sent.query_id = "q";
    sent.what = read;
    auto written = platform::query_line(sent);
    written.resize(written.size() - 2); // CR LF
    const auto again = platform::parse_client_line(written);
    const auto reread = platform::parse_statement(again.second);
    const bool alike = again.what == platform::client_line::kind::query &&
                       reread.kind == read.kind && reread.writes == read.writes;
    if (!alike)
    {
        std::abort();
    }
}

} // namespace

/// Parses arbitrary bytes as lines from clients and from backend servers.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const std::string_view line(reinterpret_cast<const char*>(data), size);
    platform::parse_client_line(line);
    platform::parse_server_line(line);
    platform::parse_position(line);
    platform::parse_status(line);
    check_statement(line);
    return 0;
}
