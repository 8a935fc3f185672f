#include "setting_value.hpp"

#include "tanagerhoist/decision/hash.hpp"

#include <google/protobuf/message.h>

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>
#include <string_view>

namespace tanagerhoist
{
namespace
{

using google::protobuf::FieldDescriptor;

constexpr std::size_t sha256_digits = 64; ///< hexadecimal

bool is_ip_address(const std::string& text)
{
    std::array<unsigned char, sizeof(in6_addr)> address{};
    return inet_pton(AF_INET, text.c_str(), address.data()) == 1 ||
           inet_pton(AF_INET6, text.c_str(), address.data()) == 1;
}

bool is_endpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || !is_ip_address(text.substr(0, colon)))
    {
        return false;
    }
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto [stop, error] =
        std::from_chars(text.data() + colon + 1, end, port);
    return error == std::errc() && stop == end && port != 0;
}

bool is_hex(const std::string& text)
{
    return !text.empty() && from_hex(text).has_value();
}

bool is_sha256(const std::string& text)
{
    return text.size() == sha256_digits && is_hex(text);
}

/// Whether the text is a decimal number that is not negative.
bool is_decimal(const std::string& text)
{
    const bool begins_with_digit =
        !text.empty() && text.front() >= '0' && text.front() <= '9';
    double value = 0;
    const char* end = text.data() + text.size();
    const auto [stop, error] =
        std::from_chars(text.data(), end, value, std::chars_format::fixed);
    return begins_with_digit && error == std::errc() && stop == end;
}

bool is_printable(const std::string& text)
{
    return !text.empty() &&
           std::all_of(text.begin(), text.end(),
                       [](char c) { return c >= ' ' && c <= '~'; });
}

/// A syntax of string values, with its name in `SettingRule::format`.
struct string_format
{
    std::string_view name;
    std::string_view description;
    bool (*matches)(const std::string&);
    bool secret; ///< never quoted in errors: a mistyped value may be a key
};

constexpr std::array<string_format, 6> string_formats{{
    {"", "printable text", &is_printable, false},
    {"decimal", "a decimal number", &is_decimal, false},
    {"ip", "an IP address", &is_ip_address, false},
    {"endpoint", "an IP address, a colon and a port", &is_endpoint, false},
    {"hex", "pairs of hexadecimal digits", &is_hex, true},
    {"sha256", "64 hexadecimal digits", &is_sha256, true},
}};

const string_format& format_of(const proto::SettingRule& rule)
{
    const auto* found =
        std::find_if(string_formats.begin(), string_formats.end(),
                     [&rule](const string_format& format)
                     { return format.name == rule.format(); });
    return found == string_formats.end() ? string_formats.front() : *found;
}

std::vector<std::string> choices_of(const proto::SettingRule& rule)
{
    std::vector<std::string> choices;
    std::istringstream stream(rule.choices());
    for (std::string choice; std::getline(stream, choice, ',');)
    {
        choices.push_back(choice);
    }
    return choices;
}

std::string quoted(const std::string& value)
{
    return value.empty() ? "nothing" : '"' + value + '"';
}

std::string quoted_unless_secret(const std::string& value,
                                 const string_format& format)
{
    return format.secret && !value.empty()
               ? std::to_string(value.size()) + " characters"
               : quoted(value);
}

bool is_numeric(const FieldDescriptor& field)
{
    return field.cpp_type() == FieldDescriptor::CPPTYPE_UINT64;
}

std::string describe_range(const proto::SettingRule& rule)
{
    std::string text =
        "a whole number of at least " + std::to_string(rule.minimum());
    if (rule.maximum() != 0)
    {
        text += " and at most " + std::to_string(rule.maximum());
    }
    return rule.unit().empty() ? text : text + ' ' + rule.unit();
}

std::optional<value_error> parse_number(const std::string& value,
                                        google::protobuf::Message& message,
                                        const FieldDescriptor& field)
{
    const proto::SettingRule& rule = *rule_of(field);
    std::uint64_t number = 0;
    const char* end = value.data() + value.size();
    const auto [stop, error] = std::from_chars(value.data(), end, number);
    if (error == std::errc::result_out_of_range)
    {
        return value_error{settings_error_kind::out_of_range, quoted(value),
                           describe_range(rule)};
    }
    if (error != std::errc() || stop != end)
    {
        return value_error{settings_error_kind::wrong_type, quoted(value),
                           describe_range(rule)};
    }
    if (number < rule.minimum() ||
        (rule.maximum() != 0 && number > rule.maximum()))
    {
        return value_error{settings_error_kind::out_of_range, quoted(value),
                           describe_range(rule)};
    }
    message.GetReflection()->SetUInt64(&message, &field, number);
    return std::nullopt;
}

std::optional<value_error> parse_string(const std::string& value,
                                        google::protobuf::Message& message,
                                        const FieldDescriptor& field)
{
    const proto::SettingRule& rule = *rule_of(field);
    const auto choices = choices_of(rule);
    if (!choices.empty() &&
        std::find(choices.begin(), choices.end(), value) == choices.end())
    {
        return value_error{settings_error_kind::invalid_choice, quoted(value),
                           describe(field)};
    }
    const string_format& format = format_of(rule);
    if (!format.matches(value))
    {
        return value_error{settings_error_kind::wrong_type,
                           quoted_unless_secret(value, format),
                           describe(field)};
    }
    message.GetReflection()->SetString(&message, &field, value);
    return std::nullopt;
}

} // namespace

const proto::SettingRule* rule_of(const FieldDescriptor& field)
{
    return field.options().HasExtension(proto::rule)
               ? &field.options().GetExtension(proto::rule)
               : nullptr;
}

std::vector<std::string> keys_of(const google::protobuf::Descriptor& section)
{
    std::vector<std::string> keys;
    for (int i = 0; i < section.field_count(); ++i)
    {
        if (rule_of(*section.field(i)) != nullptr)
        {
            keys.push_back(section.field(i)->name());
        }
    }
    return keys;
}

std::string describe(const FieldDescriptor& field)
{
    const proto::SettingRule& rule = *rule_of(field);
    if (is_numeric(field))
    {
        return describe_range(rule);
    }
    if (!rule.choices().empty())
    {
        return "one of: " + rule.choices();
    }
    if (!rule.refers_to().empty())
    {
        return "the name of a [" + rule.refers_to() + "] section";
    }
    return std::string(format_of(rule).description);
}

std::optional<value_error> parse_into(const std::string& value,
                                      google::protobuf::Message& message,
                                      const FieldDescriptor& field)
{
    return is_numeric(field) ? parse_number(value, message, field)
                             : parse_string(value, message, field);
}

bool is_section_name(const std::string& name)
{
    constexpr std::string_view allowed =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_";
    return !name.empty() &&
           name.find_first_not_of(allowed) == std::string::npos;
}

} // namespace tanagerhoist
