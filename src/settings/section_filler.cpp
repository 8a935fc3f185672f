#include "section_filler.hpp"

#include "setting_value.hpp"

#include <google/protobuf/descriptor.h>

#include <sstream>

namespace tanagerhoist
{
namespace
{

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

std::string joined(const std::vector<std::string>& words)
{
    std::string text;
    for (const auto& word : words)
    {
        text += text.empty() ? word : ", " + word;
    }
    return text;
}

/// Section headers that a root message allows.
std::string headers_of(const google::protobuf::Descriptor& root)
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
    return joined(headers);
}

std::string found_header(const ini_section& section)
{
    return section.header.empty() ? "an empty header"
                                  : '[' + section.header + ']';
}

} // namespace

section_filler::section_filler(Message& root, settings_faults& faults)
    : root_(root), faults_(faults)
{
}

void section_filler::add(const ini_section& section)
{
    std::istringstream words(section.header);
    std::string type;
    std::string name;
    std::string surplus;
    words >> type >> name >> surplus;
    Message* message = surplus.empty() ? open(type, name) : nullptr;
    if (message == nullptr)
    {
        fail(fault_kind::unknown_section, section,
             "one of: " + headers_of(*root_.GetDescriptor()));
        return;
    }
    const std::string place = section.file + ':' + std::to_string(section.line);
    const auto [first, added] = seen_.emplace(std::pair(type, name), place);
    if (!added)
    {
        fail(fault_kind::duplicate_section, section,
             "it once; it is already at " + first->second);
    }
    fill(section, *message);
}

Message* section_filler::open(const std::string& type, const std::string& name)
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

void section_filler::fill(const ini_section& section, Message& message)
{
    const auto& descriptor = *message.GetDescriptor();
    std::set<std::string> seen;
    for (const auto& entry : section.entries)
    {
        const FieldDescriptor* field = descriptor.FindFieldByName(entry.key);
        if (field == nullptr || rule_of(*field) == nullptr)
        {
            faults_.all.push_back({fault_kind::unknown_key, section.file,
                                   entry.line, section.header, entry.key,
                                   "an unknown key",
                                   "one of: " + joined(keys_of(descriptor))});
        }
        else if (!seen.insert(entry.key).second)
        {
            faults_.all.push_back({fault_kind::duplicate_key, section.file,
                                   entry.line, section.header, entry.key,
                                   "the key again", "it once in a section"});
        }
        else
        {
            set(section, entry, message, *field);
        }
    }
    complete(section, message, seen);
}

void section_filler::set(const ini_section& section, const ini_entry& entry,
                         Message& message, const FieldDescriptor& field)
{
    settings_fault fault{fault_kind::dangling_reference,
                         section.file,
                         entry.line,
                         section.header,
                         entry.key,
                         '"' + entry.value + '"',
                         describe(field)};
    if (auto refused = store(entry.value, message, field))
    {
        fault.kind = refused->kind;
        fault.found = std::move(refused->found);
        fault.expected = std::move(refused->expected);
        faults_.all.push_back(std::move(fault));
        return;
    }
    const std::string& type = rule_of(field)->refers_to();
    if (!type.empty())
    {
        references_.push_back({std::move(fault), type, entry.value});
    }
}

void section_filler::complete(const ini_section& section, Message& message,
                              const std::set<std::string>& seen)
{
    const auto& descriptor = *message.GetDescriptor();
    for (int i = 0; i < descriptor.field_count(); ++i)
    {
        const FieldDescriptor& field = *descriptor.field(i);
        const proto::SettingRule* rule = rule_of(field);
        if (rule == nullptr || seen.count(field.name()) != 0)
        {
            continue;
        }
        if (rule->required())
        {
            faults_.all.push_back({fault_kind::missing_key, section.file,
                                   section.line, section.header, field.name(),
                                   "nothing", describe(field)});
        }
        else if (rule->fallback() != 0)
        {
            message.GetReflection()->SetUInt64(&message, &field,
                                               rule->fallback());
        }
    }
}

void section_filler::finish(const std::string& file)
{
    for (auto& [place, type, name] : references_)
    {
        if (seen_.count({type, name}) == 0)
        {
            faults_.all.push_back(std::move(place));
        }
    }
    const auto& descriptor = *root_.GetDescriptor();
    for (int i = 0; i < descriptor.field_count(); ++i)
    {
        const FieldDescriptor& field = *descriptor.field(i);
        if (field.message_type() != nullptr && !field.is_repeated() &&
            seen_.count({field.name(), ""}) == 0)
        {
            const ini_section absent{file, field.name(), 1, {}};
            complete(absent,
                     *root_.GetReflection()->MutableMessage(&root_, &field),
                     {});
        }
    }
}

void section_filler::fail(fault_kind kind, const ini_section& section,
                          std::string expected)
{
    faults_.all.push_back({kind, section.file, section.line, section.header, "",
                           found_header(section), std::move(expected)});
}

} // namespace tanagerhoist
