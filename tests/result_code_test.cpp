#include "tanagerhoist/core/result_code.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <sstream>
#include <string>

namespace tanagerhoist
{

class result_code_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(result_code_test);
    CPPUNIT_TEST(table_codes_ascend);
    CPPUNIT_TEST(documentation_rows_match_table);
    CPPUNIT_TEST_SUITE_END();

public:
    void table_codes_ascend()
    {
        for (const auto* row = begin_results(); row + 1 != end_results(); ++row)
        {
            CPPUNIT_ASSERT(row->code < (row + 1)->code);
        }
    }

    void documentation_rows_match_table()
    {
        std::ifstream file(TANAGERHOIST_SOURCE_DIR "/docs/RESULT_CODES.md");
        std::stringstream expected;
        for (const auto* row = begin_results(); row != end_results(); ++row)
        {
            expected << "| " << static_cast<std::uint32_t>(row->code) << " | "
                     << row->name << " | " << name(row->outcome) << " | "
                     << row->http_status << " | " << row->message << " |\n";
        }
        std::stringstream documented;
        for (std::string line; std::getline(file, line);)
        {
            if (line.size() > 2 && line[2] >= '0' && line[2] <= '9')
            {
                documented << line << '\n';
            }
        }
        CPPUNIT_ASSERT_EQUAL(expected.str(), documented.str());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(result_code_test);

} // namespace tanagerhoist
