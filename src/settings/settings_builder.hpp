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

/// Builds a settings message from INI sections by reflection. Each message
/// field of `root` is a section type: a repeated field is `[TYPE NAME]`, a
/// single one is `[TYPE]`. The keys of a section are the fields that carry a
/// `rule`.
class settings_builder
{
public:
    settings_builder(google::protobuf::Message& root, settings_errors& errors);

    /// Adds one section. Its errors are appended to `errors`.
    void add(const ini_section& section);

    /// Checks the set as a whole once all sections are added: references
    /// between sections, and non-repeated sections that are absent.
    /// @param file file name for errors about an absent section
    void finish(const std::string& file);

private:
    /// A value that must be the name of a section of the given type.
    struct reference
    {
        settings_error error; ///< reported if there is no such section
        std::string type;
        std::string name;
    };

    /// Creates the message for a section header; null if the header is invalid.
    google::protobuf::Message* add_message(const std::string& type,
                                           const std::string& name);
    void assign_keys(const ini_section& section,
                     google::protobuf::Message& message);
    void assign(const ini_section& section, const ini_entry& entry,
                google::protobuf::Message& message,
                const google::protobuf::FieldDescriptor& field);
    /// Sets absent numeric keys to their fallback and reports absent required
    /// keys.
    void apply_defaults(const ini_section& section,
                        google::protobuf::Message& message,
                        const std::set<std::string>& assigned_keys);
    void add_error(settings_error_kind kind, const ini_section& section,
                   std::string expected);

    google::protobuf::Message& root_;
    settings_errors& errors_;
    /// Location (`file:line`) by section type and name.
    std::map<std::pair<std::string, std::string>, std::string>
        section_locations_;
    std::vector<reference> references_;
};

} // namespace tanagerhoist

#endif
