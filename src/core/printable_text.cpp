#include "tanagerhoist/core/printable_text.hpp"

#include <array>
#include <cstdint>

namespace tanagerhoist
{
namespace
{

constexpr unsigned continuation_bits = 6;
constexpr unsigned continuation_mask = 0x3f;

/// A length of UTF-8 sequences: how they begin, and what they may encode.
struct sequence_form
{
    unsigned lead_mask;
    unsigned lead;
    std::size_t size;
    std::uint32_t first;
    std::uint32_t last;
};
constexpr std::array<sequence_form, 4> sequence_forms{{
    {0x80, 0x00, 1, 0x00, 0x7f},
    {0xe0, 0xc0, 2, 0x80, 0x7ff},
    {0xf0, 0xe0, 3, 0x800, 0xffff},
    {0xf8, 0xf0, 4, 0x10000, 0x10ffff},
}};

bool is_surrogate(std::uint32_t point)
{
    return point >= 0xd800 && point <= 0xdfff;
}

/// Whether a character stays in its line and moves no cursor.
bool is_shown(std::uint32_t point)
{
    const bool control = point < 0x20 || (point >= 0x7f && point <= 0x9f);
    const bool line_end = point == 0x2028 || point == 0x2029;
    return !control && !line_end;
}

/// Size of the character that the text begins with; 0 if it isn't one to show.
std::size_t shown_size(std::string_view text)
{
    const auto lead = static_cast<unsigned char>(text.front());
    for (const auto& form : sequence_forms)
    {
        if ((lead & form.lead_mask) != form.lead || text.size() < form.size)
        {
            continue;
        }
        std::uint32_t point = lead & ~form.lead_mask;
        for (std::size_t i = 1; i < form.size; ++i)
        {
            const auto byte = static_cast<unsigned char>(text[i]);
            if ((byte & ~continuation_mask) != 0x80)
            {
                return 0;
            }
            point = (point << continuation_bits) | (byte & continuation_mask);
        }
        const bool valid = point >= form.first && point <= form.last &&
                           !is_surrogate(point) && is_shown(point);
        return valid ? form.size : 0;
    }
    return 0;
}

void append_escaped(std::string& out, char byte)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned digit_bits = 4;
    constexpr unsigned digit_mask = 0xf;
    const auto value = static_cast<unsigned char>(byte);
    out += "\\x";
    out += digits[value >> digit_bits];
    out += digits[value & digit_mask];
}

} // namespace

std::string printable(std::string_view text)
{
    std::string out;
    out.reserve(text.size());
    while (!text.empty())
    {
        const auto size = shown_size(text);
        if (size == 0)
        {
            append_escaped(out, text.front());
            text.remove_prefix(1);
            continue;
        }
        out += text.substr(0, size);
        text.remove_prefix(size);
    }
    return out;
}

std::string label_value(std::string_view text)
{
    std::string out;
    for (const char c : printable(text))
    {
        if (c == '\\' || c == '"')
        {
            out += '\\';
        }
        out += c;
    }
    return out;
}

} // namespace tanagerhoist
