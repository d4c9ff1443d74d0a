#include "bergamottide/config/reference.h"
#include "bergamottide/telemetry/metricinfo.h"

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

using namespace bergamottide;

namespace {

std::string readPage(const std::string &name)
{
    const auto root = std::filesystem::path{__FILE__}.parent_path().parent_path().parent_path().parent_path();
    std::ifstream file{root / "docs" / name};
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/*! @brief A page ends with its reference, written by the program. */
void expectReference(const std::string &page, const std::string &reference)
{
    const std::string text = readPage(page);
    CPPUNIT_ASSERT_MESSAGE(page, text.size() > reference.size());
    CPPUNIT_ASSERT_EQUAL(reference, text.substr(text.size() - reference.size()));
    CPPUNIT_ASSERT_MESSAGE(page, text.substr(0, text.size() - reference.size()).ends_with("-->\n\n"));
}

} // namespace

class DocsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DocsTest);
    CPPUNIT_TEST(documentPageMatchesTheTables);
    CPPUNIT_TEST(settingsPageMatchesTheTable);
    CPPUNIT_TEST(telemetryPageMatchesTheTable);
    CPPUNIT_TEST_SUITE_END();

public:
    void documentPageMatchesTheTables()
    {
        expectReference("document.md", documentReference());
    }

    void settingsPageMatchesTheTable()
    {
        expectReference("settings.md", settingsReference());
    }

    void telemetryPageMatchesTheTable()
    {
        expectReference("telemetry.md", metricReference());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DocsTest);
