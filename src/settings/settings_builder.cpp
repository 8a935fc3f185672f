#include "settings_builder.hpp"

#include "setting_value.hpp"

#include <google/protobuf/descriptor.h>

#include <sstream>

namespace tanagerhoist
{
namespace
{

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

std::string join(const std::vector<std::string>& words)
{
    std::string text;
    for (const auto& word : words)
    {
        text += text.empty() ? word : ", " + word;
    }
    return text;
}

/// Lists the section headers that a root message allows.
std::string allowed_headers(const google::protobuf::Descriptor& root)
{
    std::vector<std::string> headers;
    for (int i = 0; i < root.field_count(); ++i)
    {
        const FieldDescriptor& field = *root.field(i);
        if (field.message_type() != nullptr)
        {
            headers.push_back('[' + field.name() +
                              (field.is_repeated() ? " NAME]" : "]"));
        }
    }
    return join(headers);
}

std::string describe_header(const ini_section& section)
{
    return section.header.empty() ? "an empty header"
                                  : '[' + section.header + ']';
}

} // namespace

settings_builder::settings_builder(Message& root, settings_errors& errors)
    : root_(root), errors_(errors)
{
}

void settings_builder::add(const ini_section& section)
{
    std::istringstream words(section.header);
    std::string type;
    std::string name;
    std::string extra_word;
    words >> type >> name >> extra_word;
    Message* message = extra_word.empty() ? add_message(type, name) : nullptr;
    if (message == nullptr)
    {
        add_error(settings_error_kind::unknown_section, section,
                  "one of: " + allowed_headers(*root_.GetDescriptor()));
        return;
    }
    const std::string location =
        section.file + ':' + std::to_string(section.line);
    const auto [first, added] =
        section_locations_.emplace(std::pair(type, name), location);
    if (!added)
    {
        add_error(settings_error_kind::duplicate_section, section,
                  "the section once; it is first defined at " + first->second);
    }
    assign_keys(section, *message);
}

Message* settings_builder::add_message(const std::string& type,
                                       const std::string& name)
{
    const FieldDescriptor* field = root_.GetDescriptor()->FindFieldByName(type);
    if (field == nullptr || field->message_type() == nullptr)
    {
        return nullptr;
    }
    const auto* reflection = root_.GetReflection();
    if (!field->is_repeated())
    {
        return name.empty() ? reflection->MutableMessage(&root_, field)
                            : nullptr;
    }
    if (!is_section_name(name))
    {
        return nullptr;
    }
    Message* message = reflection->AddMessage(&root_, field);
    const FieldDescriptor* name_field =
        message->GetDescriptor()->FindFieldByName("name");
    message->GetReflection()->SetString(message, name_field, name);
    return message;
}

void settings_builder::assign_keys(const ini_section& section, Message& message)
{
    const auto& descriptor = *message.GetDescriptor();
    std::set<std::string> assigned_keys;
    for (const auto& entry : section.entries)
    {
        const FieldDescriptor* field = descriptor.FindFieldByName(entry.key);
        if (field == nullptr || rule_of(*field) == nullptr)
        {
            errors_.all.push_back({settings_error_kind::unknown_key,
                                   section.file, entry.line, section.header,
                                   entry.key, "an unknown key",
                                   "one of: " + join(keys_of(descriptor))});
        }
        else if (!assigned_keys.insert(entry.key).second)
        {
            errors_.all.push_back({settings_error_kind::duplicate_key,
                                   section.file, entry.line, section.header,
                                   entry.key, "a duplicate key",
                                   "each key once in a section"});
        }
        else
        {
            assign(section, entry, message, *field);
        }
    }
    apply_defaults(section, message, assigned_keys);
}

void settings_builder::assign(const ini_section& section,
                              const ini_entry& entry, Message& message,
                              const FieldDescriptor& field)
{
    settings_error error{settings_error_kind::unresolved_reference,
                         section.file,
                         entry.line,
                         section.header,
                         entry.key,
                         '"' + entry.value + '"',
                         describe(field)};
    if (auto rejected = parse_into(entry.value, message, field))
    {
        error.kind = rejected->kind;
        error.found = std::move(rejected->found);
        error.expected = std::move(rejected->expected);
        errors_.all.push_back(std::move(error));
        return;
    }
    const std::string& type = rule_of(field)->refers_to();
    if (!type.empty())
    {
        references_.push_back({std::move(error), type, entry.value});
    }
}

void settings_builder::apply_defaults(
    const ini_section& section, Message& message,
    const std::set<std::string>& assigned_keys)
{
    const auto& descriptor = *message.GetDescriptor();
    for (int i = 0; i < descriptor.field_count(); ++i)
    {
        const FieldDescriptor& field = *descriptor.field(i);
        const proto::SettingRule* rule = rule_of(field);
        if (rule == nullptr || assigned_keys.count(field.name()) != 0)
        {
            continue;
        }
        if (rule->required())
        {
            errors_.all.push_back({settings_error_kind::missing_key,
                                   section.file, section.line, section.header,
                                   field.name(), "nothing", describe(field)});
        }
        else if (rule->fallback() != 0)
        {
            message.GetReflection()->SetUInt64(&message, &field,
                                               rule->fallback());
        }
    }
}

void settings_builder::finish(const std::string& file)
{
    for (auto& [error, type, name] : references_)
    {
        if (section_locations_.count({type, name}) == 0)
        {
            errors_.all.push_back(std::move(error));
        }
    }
    const auto& descriptor = *root_.GetDescriptor();
    for (int i = 0; i < descriptor.field_count(); ++i)
    {
        const FieldDescriptor& field = *descriptor.field(i);
        if (field.message_type() != nullptr && !field.is_repeated() &&
            section_locations_.count({field.name(), ""}) == 0)
        {
            const ini_section absent{file, field.name(), 1, {}};
            apply_defaults(
                absent, *root_.GetReflection()->MutableMessage(&root_, &field),
                {});
        }
    }
}

void settings_builder::add_error(settings_error_kind kind,
                                 const ini_section& section,
                                 std::string expected)
{
    errors_.all.push_back({kind, section.file, section.line, section.header, "",
                           describe_header(section), std::move(expected)});
}

} // namespace tanagerhoist
