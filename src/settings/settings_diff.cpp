#include "tanagerhoist/settings/settings_diff.hpp"

#include "setting_value.hpp"

#include <google/protobuf/message.h>

#include <map>

namespace tanagerhoist
{
namespace
{

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

/// Sections keyed by their header, `[TYPE NAME]`.
using section_map = std::map<std::string, const Message*>;

section_map sections_of(const proto::Settings& settings)
{
    section_map sections;
    const auto& descriptor = *settings.GetDescriptor();
    const auto& reflection = *settings.GetReflection();
    for (int i = 0; i < descriptor.field_count(); ++i)
    {
        const FieldDescriptor* field = descriptor.field(i);
        const int count =
            field->is_repeated() ? reflection.FieldSize(settings, field) : 0;
        for (int index = 0; index < count; ++index)
        {
            const Message& section =
                reflection.GetRepeatedMessage(settings, field, index);
            const std::string name = section.GetReflection()->GetString(
                section, section.GetDescriptor()->FindFieldByName("name"));
            sections.emplace('[' + field->name() + ' ' + name + ']', &section);
        }
    }
    return sections;
}

std::string value_of(const Message& section, const FieldDescriptor& field)
{
    const auto& reflection = *section.GetReflection();
    if (field.cpp_type() == FieldDescriptor::CPPTYPE_UINT64)
    {
        return std::to_string(reflection.GetUInt64(section, &field));
    }
    const std::string text = reflection.GetString(section, &field);
    return text.empty() ? "(none)" : text;
}

void append_changed_keys(const std::string& header, const Message& before,
                         const Message& after, std::vector<std::string>& lines)
{
    const auto& descriptor = *before.GetDescriptor();
    for (const auto& key : keys_of(descriptor))
    {
        const FieldDescriptor& field = *descriptor.FindFieldByName(key);
        const std::string old_value = value_of(before, field);
        const std::string new_value = value_of(after, field);
        if (old_value != new_value)
        {
            std::string line = "~ " + header;
            line.append(" ").append(key).append(": ").append(old_value);
            lines.push_back(line.append(" -> ").append(new_value));
        }
    }
}

} // namespace

std::vector<std::string> diff_settings(const proto::Settings& current,
                                       const proto::Settings& next)
{
    const section_map before = sections_of(current);
    section_map after = sections_of(next);
    std::vector<std::string> lines;
    for (const auto& [header, section] : before)
    {
        const auto node = after.extract(header);
        if (node.empty())
        {
            lines.push_back("- " + header);
            continue;
        }
        append_changed_keys(header, *section, *node.mapped(), lines);
    }
    for (const auto& added : after)
    {
        lines.push_back("+ " + added.first);
    }
    return lines;
}

} // namespace tanagerhoist
