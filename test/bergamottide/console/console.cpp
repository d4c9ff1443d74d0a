#include "bergamottide/console/console.h"

#include "bergamottide/config/documentfields.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

using namespace bergamottide;

class ConsoleTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConsoleTest);
    CPPUNIT_TEST(pageIsTheCommittedOne);
    CPPUNIT_TEST(pageNeedsNoOtherFile);
    CPPUNIT_TEST(schemaHoldsEveryField);
    CPPUNIT_TEST(invalidDocumentIsReadForTheForms);
    CPPUNIT_TEST(textThatIsNotYamlGivesItsIssue);
    CPPUNIT_TEST_SUITE_END();

public:
    void pageIsTheCommittedOne()
    {
        const auto root = std::filesystem::path{__FILE__}.parent_path().parent_path().parent_path().parent_path();
        std::ifstream file{root / "src" / "bergamottide" / "console" / "page.html"};
        std::ostringstream text;
        text << file.rdbuf();
        CPPUNIT_ASSERT(text.str() == consolePage());
    }

    void pageNeedsNoOtherFile()
    {
        for (const std::string_view part : {"src=", "<link", "http://", "https://", "@import"}) {
            CPPUNIT_ASSERT_MESSAGE(std::string{part}, consolePage().find(part) == std::string_view::npos);
        }
    }

    void schemaHoldsEveryField()
    {
        const auto schema = nlohmann::json::parse(schemaJson());
        const auto sections = sectionInfos();
        CPPUNIT_ASSERT_EQUAL(sections.size(), schema.at("sections").size());
        for (std::size_t index = 0; index < sections.size(); ++index) {
            const auto &section = schema.at("sections").at(index);
            CPPUNIT_ASSERT_EQUAL(sections[index].name, section.at("name").get<std::string>());
            CPPUNIT_ASSERT_EQUAL(sections[index].fields.size(), section.at("fields").size());
        }
    }

    void invalidDocumentIsReadForTheForms()
    {
        const auto read = nlohmann::json::parse(readJson("version: x\nkinds: {a: {value: 9}, a: {}}\n"));
        CPPUNIT_ASSERT_EQUAL(std::string{"x"}, read.at("document").at("version").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string{"9"}, read.at("document").at("kinds").at("a").at("value").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, read.at("issues").size());
        CPPUNIT_ASSERT_EQUAL(2, read.at("issues").at(0).at("line").get<int>());
    }

    void textThatIsNotYamlGivesItsIssue()
    {
        const auto read = nlohmann::json::parse(readJson("a: [\n"));
        CPPUNIT_ASSERT(read.at("document").is_null());
        CPPUNIT_ASSERT(!read.at("issues").empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConsoleTest);
