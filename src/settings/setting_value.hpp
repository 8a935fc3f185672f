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

/// Why a value was refused.
struct value_error
{
    settings_error_kind kind;
    std::string found;
    std::string expected;
};

/// The rule of a field; null if it carries none and so is no key.
const proto::SettingRule*
rule_of(const google::protobuf::FieldDescriptor& field);

/// Names of the keys of a section type, in schema order.
std::vector<std::string> keys_of(const google::protobuf::Descriptor& section);

/// What a field accepts, in words.
std::string describe(const google::protobuf::FieldDescriptor& field);

/// Checks `value` by the field's type and rule, and stores it.
std::optional<value_error>
parse_into(const std::string& value, google::protobuf::Message& message,
           const google::protobuf::FieldDescriptor& field);

/// Whether `name` may name a section: letters, digits, `-` and `_`. A dot is
/// excluded because it ends the id in a caller's key.
bool is_section_name(const std::string& name);

} // namespace tanagerhoist

#endif
