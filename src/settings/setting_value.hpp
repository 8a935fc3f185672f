#ifndef TANAGERHOIST_SETTINGS_SETTING_VALUE_HPP
#define TANAGERHOIST_SETTINGS_SETTING_VALUE_HPP

#include "settings.pb.h"
#include "tanagerhoist/settings/settings_error.hpp"

#include <google/protobuf/descriptor.h>

#include <optional>
#include <string>
#include <vector>

namespace tanagerhoist
{

/// Why a value is invalid.
struct value_error
{
    settings_error_kind kind;
    std::string found;
    std::string expected;
};

/// Returns the rule of a field; null if it has none and therefore is not a key.
const proto::SettingRule*
rule_of(const google::protobuf::FieldDescriptor& field);

/// Returns the keys of a section type, in schema order.
std::vector<std::string> keys_of(const google::protobuf::Descriptor& section);

/// Describes the values that a field accepts, for error messages.
std::string describe(const google::protobuf::FieldDescriptor& field);

/// Parses `value` by the field's type and rule, and sets the field of
/// `message`.
/// @return the reason if the value is invalid
std::optional<value_error>
parse_into(const std::string& value, google::protobuf::Message& message,
           const google::protobuf::FieldDescriptor& field);

/// Whether `name` is valid as the name of a section: letters, digits, `-` and
/// `_`. A dot is not allowed, because it separates the key id from the secret
/// in a caller's key.
bool is_section_name(const std::string& name);

} // namespace tanagerhoist

#endif
