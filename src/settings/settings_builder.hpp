#ifndef TANAGERHOIST_SETTINGS_SETTINGS_BUILDER_HPP
#define TANAGERHOIST_SETTINGS_SETTINGS_BUILDER_HPP

#include "ini_text.hpp"

#include <google/protobuf/message.h>

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace tanagerhoist
{

/// Fills a message from sections by reflection. Each message field of `root`
/// is a section type: a repeated one is `[TYPE NAME]`, a single one `[TYPE]`.
/// The keys of a section are those fields that carry a `rule`.
class settings_builder
{
public:
    settings_builder(google::protobuf::Message& root, settings_errors& errors);

    /// Adds one section; errors are noted.
    void add(const ini_section& section);

    /// Checks what only the whole assign shows: references between sections,
    /// and single sections that are absent.
    /// @param file named for an absent section
    void finish(const std::string& file);

private:
    /// A value that has to be the name of a section.
    struct reference
    {
        settings_error error;
        std::string type;
        std::string name;
    };

    /// The message that a header stands for; null if there is none.
    google::protobuf::Message* add_message(const std::string& type,
                                           const std::string& name);
    void assign_keys(const ini_section& section,
                     google::protobuf::Message& message);
    void assign(const ini_section& section, const ini_entry& entry,
                google::protobuf::Message& message,
                const google::protobuf::FieldDescriptor& field);
    void apply_defaults(const ini_section& section,
                        google::protobuf::Message& message,
                        const std::set<std::string>& assigned_keys);
    void add_error(settings_error_kind kind, const ini_section& section,
                   std::string expected);

    google::protobuf::Message& root_;
    settings_errors& errors_;
    std::map<std::pair<std::string, std::string>, std::string>
        section_locations_;
    std::vector<reference> references_;
};

} // namespace tanagerhoist

#endif
