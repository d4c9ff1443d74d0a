#include "bergamottide/config/parser.h"
#include "bergamottide/config/settings.h"

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

using namespace bergamottide;

namespace {

std::string readExample(const std::string &name)
{
    // The source tree is found from this file, wherever the tests are started.
    const auto root = std::filesystem::path{__FILE__}.parent_path().parent_path().parent_path().parent_path();
    std::ifstream file{root / "examples" / name};
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

template <typename Result>
void expectValid(const Result &result)
{
    std::string text;
    for (const ConfigIssue &issue : result.issues) {
        text += issueText(issue) + '\n';
    }
    CPPUNIT_ASSERT_EQUAL(std::string{}, text);
}

} // namespace

class ExamplesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ExamplesTest);
    CPPUNIT_TEST(documentIsValid);
    CPPUNIT_TEST(settingsAreValid);
    CPPUNIT_TEST_SUITE_END();

public:
    void documentIsValid()
    {
        const ParseResult result = parseDocument(readExample("document.yaml"));
        expectValid(result);
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, result.document->workspaces.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, result.document->models.size());
    }

    void settingsAreValid()
    {
        expectValid(parseSettings(readExample("entry.yaml")));
        expectValid(parseSettings(readExample("side.yaml")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExamplesTest);
