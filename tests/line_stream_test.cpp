#include "platform/line_protocol.hpp"
#include "tanagerhoist/adapter/line_stream.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <istream>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace tanagerhoist
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::size_t line_limit = 64; // bytes

/// A stream and its peer, connected over loopback.
struct connected_stream
{
    explicit connected_stream(std::size_t limit = line_limit) : peer(context)
    {
        tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
        peer.connect(acceptor.local_endpoint());
        stream = std::make_shared<line_stream>(acceptor.accept(), limit);
        stream->start({[this](std::string_view line) { note(line); },
                       [this](stream_end why)
                       {
                           end = why;
                           stream->write("sorry\r\n");
                           if (closes)
                           {
                               stream->close();
                           }
                       },
                       {}});
    }

    /// Sends `bytes` to the stream and runs all handlers that are ready.
    void send(const std::string& bytes)
    {
        asio::write(peer, asio::buffer(bytes));
        run();
    }

    /// Sends `bytes` in pieces of at most `size`.
    void send_in_pieces(const std::string& bytes, std::size_t size)
    {
        for (std::size_t begin = 0; begin < bytes.size(); begin += size)
        {
            send(bytes.substr(begin, size));
        }
    }

    void run()
    {
        context.restart();
        while (context.poll_one() != 0)
        {
        }
    }

    std::string read_line()
    {
        asio::streambuf buffer;
        asio::read_until(peer, buffer, "\r\n");
        std::istream in(&buffer);
        std::string line;
        std::getline(in, line);
        return line;
    }

    void note(std::string_view line)
    {
        lines.emplace_back(line);
        unread.push_back(stream->has_unread());
        if (pauses || resumes)
        {
            stream->pause();
        }
        if (resumes)
        {
            stream->resume();
        }
    }

    asio::io_context context;
    tcp::socket peer;
    std::shared_ptr<line_stream> stream;
    bool pauses = false;  ///< after each line
    bool resumes = false; ///< pauses and resumes after each line
    bool closes = true;   ///< at the end
    std::vector<std::string> lines;
    std::vector<bool> unread; ///< for each line, whether more had arrived
    std::optional<stream_end> end;
};

/// Lines in which CR and LF are data, and the bytes that carry them.
const std::vector<std::string> odd_lines{
    "a\nb", "", "\r", "\n", "c\r", "\n\r", "\rd \n", std::string("\0\xff", 2)};

std::string bytes_of(const std::vector<std::string>& lines)
{
    std::string bytes;
    for (const auto& line : lines)
    {
        bytes += line + "\r\n";
    }
    return bytes;
}

} // namespace

class line_stream_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(line_stream_test);
    CPPUNIT_TEST(line_in_two_pieces_is_handed_out_whole);
    CPPUNIT_TEST(paused_stream_keeps_lines_until_resumed);
    CPPUNIT_TEST(line_above_the_limit_is_answered_before_the_end);
    CPPUNIT_TEST(write_with_lf_in_its_data_is_one_line);
    CPPUNIT_TEST(cr_and_lf_alone_are_data_in_pieces_of_any_size);
    CPPUNIT_TEST(cr_and_lf_alone_are_data_when_cut_in_two_anywhere);
    CPPUNIT_TEST(cr_and_lf_alone_are_data_when_paused_after_each_line);
    CPPUNIT_TEST(line_of_the_limit_is_accepted_in_one_piece);
    CPPUNIT_TEST(line_of_the_limit_is_accepted_with_its_end_in_pieces);
    CPPUNIT_TEST(line_of_a_mebibyte_is_accepted_and_a_longer_one_rejected);
    CPPUNIT_TEST(complete_line_above_the_limit_is_rejected);
    CPPUNIT_TEST(cr_of_the_data_counts_towards_the_limit);
    CPPUNIT_TEST(lines_before_one_above_the_limit_are_delivered);
    CPPUNIT_TEST(line_above_the_limit_is_rejected_when_resumed);
    CPPUNIT_TEST(rejected_stream_reads_no_more);
    CPPUNIT_TEST(bytes_behind_a_delivered_line_are_unread);
    CPPUNIT_TEST(bytes_at_the_socket_are_unread);
    CPPUNIT_TEST(closed_stream_has_nothing_unread);
    CPPUNIT_TEST_SUITE_END();

public:
    void line_in_two_pieces_is_handed_out_whole()
    {
        connected_stream fixture;
        fixture.send("one\r\ntw");
        fixture.send("o\r\n");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.lines.size());
        CPPUNIT_ASSERT_EQUAL(std::string("two"), fixture.lines[1]);
    }

    void paused_stream_keeps_lines_until_resumed()
    {
        connected_stream fixture;
        fixture.stream->pause();
        fixture.send("one\r\n");
        CPPUNIT_ASSERT(fixture.lines.empty());
        fixture.stream->resume();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.lines.size());
    }

    void line_above_the_limit_is_answered_before_the_end()
    {
        connected_stream fixture;
        fixture.send(std::string(line_limit + 1, 'x'));
        CPPUNIT_ASSERT(fixture.end == stream_end::too_long);
        CPPUNIT_ASSERT_EQUAL(std::string("sorry\r"), fixture.read_line());
    }

    /// Servers ran the text up to the LF, and the rest as a line of its own.
    void write_with_lf_in_its_data_is_one_line()
    {
        connected_stream fixture;
        fixture.send("QUERY 5c WRITE 1a4 ab\ncd\r\n");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.lines.size());
        CPPUNIT_ASSERT_EQUAL(std::string("QUERY 5c WRITE 1a4 ab\ncd"),
                             fixture.lines[0]);
    }

    void cr_and_lf_alone_are_data_in_pieces_of_any_size()
    {
        const auto bytes = bytes_of(odd_lines);
        for (std::size_t size = 1; size <= bytes.size(); ++size)
        {
            connected_stream fixture;
            fixture.send_in_pieces(bytes, size);
            CPPUNIT_ASSERT(odd_lines == fixture.lines);
        }
    }

    void cr_and_lf_alone_are_data_when_cut_in_two_anywhere()
    {
        const auto bytes = bytes_of(odd_lines);
        for (std::size_t cut = 1; cut < bytes.size(); ++cut)
        {
            connected_stream fixture;
            fixture.send(bytes.substr(0, cut));
            fixture.send(bytes.substr(cut));
            CPPUNIT_ASSERT(odd_lines == fixture.lines);
        }
    }

    void cr_and_lf_alone_are_data_when_paused_after_each_line()
    {
        const auto bytes = bytes_of(odd_lines);
        for (std::size_t size = 1; size <= bytes.size(); ++size)
        {
            connected_stream fixture;
            fixture.pauses = true;
            fixture.send_in_pieces(bytes, size);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.lines.size());
            for (std::size_t i = 1; i < odd_lines.size(); ++i)
            {
                fixture.stream->resume();
                fixture.run();
                CPPUNIT_ASSERT_EQUAL(i + 1, fixture.lines.size());
            }
            CPPUNIT_ASSERT(odd_lines == fixture.lines);
            CPPUNIT_ASSERT(!fixture.stream->has_unread());
        }
    }

    void line_of_the_limit_is_accepted_in_one_piece()
    {
        connected_stream fixture;
        const std::string line(line_limit, 'x');
        fixture.send(line + "\r\n" + line + "\r\n");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.lines.size());
        CPPUNIT_ASSERT_EQUAL(line, fixture.lines[1]);
        CPPUNIT_ASSERT(!fixture.end);
    }

    void line_of_the_limit_is_accepted_with_its_end_in_pieces()
    {
        connected_stream fixture;
        const std::string line(line_limit, 'x');
        fixture.send(line);
        fixture.send("\r");
        CPPUNIT_ASSERT(!fixture.end);
        fixture.send("\n");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.lines.size());
        CPPUNIT_ASSERT_EQUAL(line, fixture.lines[0]);
        CPPUNIT_ASSERT(!fixture.end);
    }

    void line_of_a_mebibyte_is_accepted_and_a_longer_one_rejected()
    {
        constexpr std::size_t mebibyte = std::size_t{1} << 20U; // bytes
        constexpr std::size_t piece = std::size_t{16} * 1024;   // bytes
        CPPUNIT_ASSERT_EQUAL(mebibyte, platform::line_limit);
        connected_stream fixture(platform::line_limit);
        fixture.send_in_pieces(std::string(mebibyte, '\n') + "\r\n", piece);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.lines.size());
        CPPUNIT_ASSERT_EQUAL(mebibyte, fixture.lines[0].size());
        fixture.send_in_pieces(std::string(mebibyte + 1, '\n') + "\r\n", piece);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.lines.size());
        CPPUNIT_ASSERT(fixture.end == stream_end::too_long);
    }

    void complete_line_above_the_limit_is_rejected()
    {
        connected_stream fixture;
        fixture.send(std::string(line_limit + 1, 'x') + "\r\n");
        CPPUNIT_ASSERT(fixture.lines.empty());
        CPPUNIT_ASSERT(fixture.end == stream_end::too_long);
    }

    void cr_of_the_data_counts_towards_the_limit()
    {
        const std::string line(line_limit - 1, 'x');
        connected_stream fixture;
        fixture.send(line + "\r");
        fixture.send("\r\n");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.lines.size());
        CPPUNIT_ASSERT_EQUAL(line + '\r', fixture.lines[0]);
        fixture.send(line + "x\r");
        CPPUNIT_ASSERT(!fixture.end);
        fixture.send("x");
        CPPUNIT_ASSERT(fixture.end == stream_end::too_long);
    }

    void lines_before_one_above_the_limit_are_delivered()
    {
        connected_stream fixture;
        fixture.send("one\r\n" + std::string(line_limit + 1, 'x') +
                     "\r\ntwo\r\n");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.lines.size());
        CPPUNIT_ASSERT(fixture.end == stream_end::too_long);
    }

    void line_above_the_limit_is_rejected_when_resumed()
    {
        connected_stream fixture;
        fixture.stream->pause();
        fixture.send(std::string(line_limit + 1, 'x') + "\r\n");
        CPPUNIT_ASSERT(!fixture.end);
        fixture.stream->resume();
        fixture.run();
        CPPUNIT_ASSERT(fixture.lines.empty());
        CPPUNIT_ASSERT(fixture.end == stream_end::too_long);
        CPPUNIT_ASSERT_EQUAL(std::string("sorry\r"), fixture.read_line());
    }

    void rejected_stream_reads_no_more()
    {
        connected_stream fixture;
        fixture.resumes = true;
        fixture.closes = false;
        fixture.send("one\r\n" + std::string(line_limit + 1, 'x'));
        CPPUNIT_ASSERT(fixture.end == stream_end::too_long);
        fixture.send("\r\ntwo\r\n");
        fixture.stream->resume();
        fixture.run();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.lines.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.stream->input_size());
    }

    void bytes_behind_a_delivered_line_are_unread()
    {
        connected_stream fixture;
        fixture.send("one\r\ntwo\r\nthr");
        fixture.send("ee\r\n");
        CPPUNIT_ASSERT(std::vector<bool>({true, true, false}) ==
                       fixture.unread);
        CPPUNIT_ASSERT(!fixture.stream->has_unread());
        fixture.send("\r");
        CPPUNIT_ASSERT(fixture.stream->has_unread());
    }

    void bytes_at_the_socket_are_unread()
    {
        connected_stream fixture;
        fixture.send("one\r\n");
        CPPUNIT_ASSERT(!fixture.stream->has_unread());
        asio::write(fixture.peer, asio::buffer(std::string("two\r\n")));
        CPPUNIT_ASSERT(fixture.stream->has_unread());
        fixture.run();
        CPPUNIT_ASSERT(!fixture.stream->has_unread());
    }

    void closed_stream_has_nothing_unread()
    {
        connected_stream fixture;
        fixture.send("one\r\n");
        fixture.peer.shutdown(tcp::socket::shutdown_send);
        CPPUNIT_ASSERT(!fixture.stream->has_unread());
        fixture.run();
        CPPUNIT_ASSERT(fixture.end == stream_end::closed);
        CPPUNIT_ASSERT(!fixture.stream->has_unread());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(line_stream_test);

} // namespace tanagerhoist
