#ifndef TANAGERHOIST_STANDIN_WIRE_TEXT_HPP
#define TANAGERHOIST_STANDIN_WIRE_TEXT_HPP

#include "standin/wire_random.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace tanagerhoist::standin
{

/// Takes lines from received bytes. Only CR LF ends a line. Written apart from
/// the daemon's reader, whose mistakes it must not share.
class wire_lines
{
public:
    void add(std::string_view bytes);

    /// The next whole line without its end; nothing if there is none yet.
    std::optional<std::string> next();

private:
    std::string bytes_;
    std::size_t searched_ = 0; ///< bytes without a line end
};

/// Removes the first field and the blank after it from `rest`.
/// @return the field
std::string_view take_field(std::string_view& rest);

/// The bytes with all but printable characters as \xNN.
std::string escaped(std::string_view bytes);

/// Draws the data of clients and servers.
class wire_data
{
public:
    /// @param any_bytes whether data is of any bytes but CR LF in a row; else
    /// of lower-case letters
    wire_data(wire_random& random, bool any_bytes)
        : random_(random), any_bytes_(any_bytes)
    {
    }

    /// A field with no blank and at least one byte.
    std::string word();

    /// The last field of a line, which does not start with a blank and has at
    /// least one byte.
    std::string rest();

    /// The last field of a line; may be empty.
    std::string text();

private:
    std::string draw(std::size_t size, bool with_blanks);

    wire_random& random_;
    bool any_bytes_;
};

} // namespace tanagerhoist::standin

#endif
