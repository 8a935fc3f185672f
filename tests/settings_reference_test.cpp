#include "settings.pb.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <sstream>
#include <string>

namespace tanagerhoist
{

class settings_reference_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(settings_reference_test);
    CPPUNIT_TEST(documentation_tables_match_schema);
    CPPUNIT_TEST_SUITE_END();

    static std::string allowed(const google::protobuf::FieldDescriptor& field,
                               const proto::SettingRule& rule)
    {
        if (!rule.choices().empty())
        {
            return rule.choices();
        }
        if (!rule.refers_to().empty())
        {
            return "name of a " + rule.refers_to();
        }
        if (field.type() != google::protobuf::FieldDescriptor::TYPE_UINT64)
        {
            return rule.format().empty() ? "text" : rule.format();
        }
        return std::to_string(rule.minimum()) + " to " +
               std::to_string(rule.maximum());
    }

    static std::string fallback(const google::protobuf::FieldDescriptor& field,
                                const proto::SettingRule& rule)
    {
        if (rule.required())
        {
            return "required";
        }
        return field.type() == google::protobuf::FieldDescriptor::TYPE_UINT64
                   ? std::to_string(rule.fallback())
                   : "-";
    }

    static void add_section(std::ostream& out,
                            const google::protobuf::FieldDescriptor& section)
    {
        const auto& message = *section.message_type();
        out << "### [" << section.name()
            << (section.is_repeated() ? " NAME]" : "]") << "\n";
        for (int i = 0; i < message.field_count(); ++i)
        {
            const auto& field = *message.field(i);
            if (!field.options().HasExtension(proto::rule))
            {
                continue; // the name is part of the section header
            }
            const auto& rule = field.options().GetExtension(proto::rule);
            out << "| " << field.name() << " | " << rule.description() << " | "
                << rule.unit() << " | " << allowed(field, rule) << " | "
                << fallback(field, rule) << " |\n";
        }
    }

    static std::string expected()
    {
        std::ostringstream out;
        for (const auto* file : {proto::Settings::descriptor(),
                                 proto::DaemonSettings::descriptor(),
                                 proto::SessionDaemonSettings::descriptor()})
        {
            for (int i = 0; i < file->field_count(); ++i)
            {
                const bool described =
                    file == proto::SessionDaemonSettings::descriptor() &&
                    file->field(i)->name() == "vm";
                if (file->field(i)->message_type() != nullptr && !described)
                {
                    add_section(out, *file->field(i));
                }
            }
        }
        return out.str();
    }

    static std::string documented()
    {
        std::ifstream file(TANAGERHOIST_SOURCE_DIR "/docs/SETTINGS.md");
        std::ostringstream out;
        for (std::string line; std::getline(file, line);)
        {
            const bool heading = line.rfind("### [", 0) == 0;
            const bool row =
                line.rfind("| ", 0) == 0 && line.rfind("| key |", 0) != 0;
            if (heading || row)
            {
                out << line << '\n';
            }
        }
        return out.str();
    }

public:
    void documentation_tables_match_schema()
    {
        CPPUNIT_ASSERT_EQUAL(expected(), documented());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(settings_reference_test);

} // namespace tanagerhoist
