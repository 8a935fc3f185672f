#include "ini_text.hpp"

#include <ini.h>

#include <algorithm>
#include <string_view>
#include <utility>

namespace tanagerhoist
{
namespace
{

/// Maximum length of a section header; inih truncates longer ones.
constexpr std::size_t max_header_length = 49;

/// Key that the scanner inserts after each header, so that inih reports a
/// section even if it is empty. Lines with this character are rejected, so it
/// never occurs in a file.
constexpr std::string_view section_marker = "\x01";

constexpr std::string_view blanks = " \t";
constexpr std::string_view byte_order_mark = "\xef\xbb\xbf";

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
    {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

bool has_control_character(std::string_view line)
{
    return std::any_of(
        line.begin(), line.end(),
        [](char c) { return (c >= 0 && c < ' ' && c != '\t') || c == 127; });
}

/// Passes a file to inih line by line and collects the reported entries.
///
/// inih reports only the first line that it cannot parse. The scanner detects
/// all of them: a line that is neither blank, a comment nor a header, and for
/// which inih reported no entry, is an error.
class ini_scanner
{
public:
    ini_scanner(const settings_text& text, settings_errors& errors)
        : file_(text.file), rest_(text.content), errors_(errors)
    {
        if (rest_.substr(0, byte_order_mark.size()) == byte_order_mark)
        {
            rest_.remove_prefix(byte_order_mark.size());
        }
    }

    /// Reader callback of inih. Returns the next line, or null at the end.
    static char* read(char* buffer, int size, void* scanner)
    {
        return static_cast<ini_scanner*>(scanner)->next_line(
            buffer, static_cast<std::size_t>(size));
    }

    /// Handler callback of inih for one entry.
    static int handle(void* scanner, const char* section, const char* key,
                      const char* value)
    {
        static_cast<ini_scanner*>(scanner)->add_entry(section, key, value);
        return 1;
    }

    /// Adds an error if inih reported no entry for the last line.
    void check_pending_entry()
    {
        if (std::exchange(entry_pending_, false))
        {
            add_error("a line that is not a setting", "key = value");
        }
    }

    std::vector<ini_section> sections() { return std::move(sections_); }

private:
    char* next_line(char* buffer, std::size_t size)
    {
        check_pending_entry();
        if (std::exchange(marker_pending_, false))
        {
            return copy(buffer, std::string(section_marker) + "=");
        }
        if (rest_.empty())
        {
            return nullptr;
        }
        const std::string_view line = read_line();
        return copy(buffer, is_usable(line, size) ? line : std::string_view());
    }

    std::string_view read_line()
    {
        const std::size_t end = std::min(rest_.find('\n'), rest_.size());
        std::string_view line = rest_.substr(0, end);
        rest_.remove_prefix(std::min(end + 1, rest_.size()));
        ++line_;
        if (!line.empty() && line.back() == '\r')
        {
            line.remove_suffix(1);
        }
        return line;
    }

    /// Whether the line is passed to inih. Adds an error if it is invalid.
    bool is_usable(std::string_view line, std::size_t size)
    {
        const std::string_view text = trim(line);
        if (text.empty() || text.front() == ';' || text.front() == '#')
        {
            return false;
        }
        if (has_control_character(line))
        {
            return add_error("a control character", "text");
        }
        if (text.front() == '[')
        {
            return open_section(text);
        }
        if (line.size() + 2 > size)
        {
            return add_error("a line of " + std::to_string(line.size()) +
                                 " characters",
                             "at most " + std::to_string(size - 2));
        }
        entry_pending_ = true;
        return true;
    }

    /// Starts a section. Entries under an invalid header are dropped, since
    /// they belong to no known section.
    bool open_section(std::string_view text)
    {
        const std::string_view inner = text.substr(1, text.size() - 2);
        skipping_section_ = true;
        if (text.size() < 2 || text.back() != ']' ||
            inner.find_first_of("[];#") != std::string_view::npos)
        {
            return add_error("a malformed section header", "[SECTION NAME]");
        }
        if (inner.size() > max_header_length)
        {
            return add_error("a section header of " +
                                 std::to_string(inner.size()) + " characters",
                             "at most " + std::to_string(max_header_length));
        }
        skipping_section_ = false;
        marker_pending_ = true;
        return true;
    }

    void add_entry(std::string_view section, std::string_view key,
                   std::string_view value)
    {
        if (key == section_marker)
        {
            sections_.push_back({file_, std::string(trim(section)), line_, {}});
            return;
        }
        entry_pending_ = false;
        if (skipping_section_)
        {
            return;
        }
        if (sections_.empty())
        {
            add_error("a key before any section", "[SECTION NAME]", key);
            return;
        }
        sections_.back().entries.push_back(
            {std::string(key), std::string(value), line_});
    }

    static char* copy(char* buffer, std::string_view line)
    {
        char* end = std::copy(line.begin(), line.end(), buffer);
        *end++ = '\n';
        *end = '\0';
        return buffer;
    }

    bool add_error(std::string found, std::string expected,
                   std::string_view key = {})
    {
        errors_.all.push_back({settings_error_kind::syntax_error, file_, line_,
                               "", std::string(key), std::move(found),
                               std::move(expected)});
        return false;
    }

    const std::string& file_;
    std::string_view rest_;
    settings_errors& errors_;
    std::vector<ini_section> sections_;
    unsigned line_ = 0;
    bool marker_pending_ = false; // the last line passed to inih was a header
    // the last line passed to inih should be an entry
    bool entry_pending_ = false;
    bool skipping_section_ = false; // the last header was invalid
};

/// Disables inih's continuation lines, so that an indented line is a key too.
void configure_inih()
{
    static const bool once = (ini_allow_multiline = false, true);
    static_cast<void>(once);
}

} // namespace

std::vector<ini_section> parse_ini(const settings_text& text,
                                   settings_errors& errors)
{
    configure_inih();
    ini_scanner scanner(text, errors);
    ini_parse_stream(&ini_scanner::read, &scanner, &ini_scanner::handle,
                     &scanner);
    scanner.check_pending_entry();
    return scanner.sections();
}

} // namespace tanagerhoist
