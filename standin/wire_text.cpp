#include "standin/wire_text.hpp"

#include <array>
#include <cstdio>

namespace tanagerhoist::standin
{
namespace
{

using namespace std::string_view_literals;

constexpr std::string_view line_end = "\r\n";
constexpr std::size_t longest_word = 8;  // bytes
constexpr std::size_t longest_text = 40; // bytes
constexpr unsigned empty_share = 4;      // percent
constexpr unsigned any_byte_share = 30;  // percent

/// Bytes that readers of lines may take for something else.
constexpr std::string_view odd_bytes = "\n\r\0\xff\x80\\\t\x0b\x0c\x1a\"a"sv;

constexpr std::size_t letters = 26;
constexpr std::size_t bytes = 256;

/// Removes CR before LF, also where its removal brings another CR there.
void remove_line_ends(std::string& text)
{
    for (auto at = text.find(line_end); at != std::string::npos;
         at = text.find(line_end))
    {
        text.erase(at, 1);
    }
}

} // namespace

void wire_lines::add(std::string_view bytes)
{
    bytes_ += bytes;
}

std::optional<std::string> wire_lines::next()
{
    const auto end = bytes_.find(line_end, searched_);
    if (end == std::string::npos)
    {
        searched_ = bytes_.empty() ? 0 : bytes_.size() - 1;
        return std::nullopt;
    }
    auto line = bytes_.substr(0, end);
    bytes_.erase(0, end + line_end.size());
    searched_ = 0;
    return line;
}

std::string_view take_field(std::string_view& rest)
{
    const auto blank = rest.find(' ');
    const auto field = rest.substr(0, blank);
    rest = blank == std::string_view::npos ? std::string_view()
                                           : rest.substr(blank + 1);
    return field;
}

std::string escaped(std::string_view bytes)
{
    std::string text;
    for (const char byte : bytes)
    {
        const auto code = static_cast<unsigned char>(byte);
        if (code >= ' ' && code <= '~' && byte != '\\')
        {
            text += byte;
            continue;
        }
        std::array<char, 5> hex{};
        std::snprintf(hex.data(), hex.size(), "\\x%02x", code);
        text += hex.data();
    }
    return text;
}

std::string wire_data::draw(std::size_t size, bool with_blanks)
{
    std::string drawn;
    while (drawn.size() < size)
    {
        auto byte = static_cast<char>('a' + random_.below(letters));
        if (any_bytes_)
        {
            byte = random_.chance(any_byte_share)
                       ? static_cast<char>(random_.below(bytes))
                       : odd_bytes[random_.below(odd_bytes.size())];
            const bool blank = with_blanks && random_.chance(any_byte_share);
            byte = blank ? ' ' : byte;
        }
        if (byte != ' ' || with_blanks)
        {
            drawn += byte;
        }
    }
    remove_line_ends(drawn);
    return drawn;
}

std::string wire_data::word()
{
    return draw(random_.between(1, longest_word), false);
}

std::string wire_data::rest()
{
    auto drawn = word() + draw(random_.below(longest_text), any_bytes_);
    remove_line_ends(drawn);
    return drawn;
}

std::string wire_data::text()
{
    if (random_.chance(empty_share))
    {
        return {};
    }
    return draw(random_.between(1, longest_text), any_bytes_);
}

} // namespace tanagerhoist::standin
