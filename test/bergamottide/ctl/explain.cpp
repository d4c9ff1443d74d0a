#include "bergamottide/ctl/explain.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <sstream>

using namespace bergamottide;

namespace {

std::string line(const std::string &second, const std::string &instance, const std::string &text,
                 const std::string &fields)
{
    return R"({"time":"2026-01-01T00:00:)" + second + R"(.000000Z","severity":"info","instance":")" + instance
        + R"(","text":")" + text + R"(","fields":{)" + fields + "}}\n";
}

} // namespace

/*! @brief Timeline of one request from the logs of several processes. */
class ExplainTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ExplainTest);
    CPPUNIT_TEST(mergesLogsInTimeOrder);
    CPPUNIT_TEST(showsStateChangesOfInvolvedEndpoints);
    CPPUNIT_TEST(failsWhenNoLineNamesTheRequest);
    CPPUNIT_TEST_SUITE_END();

public:
    void mergesLogsInTimeOrder()
    {
        m_files["a"] = line("01", "a", "sent", R"("request":"r1","endpoint":"e1")")
            + line("04", "a", "refused", R"("request":"r1")") + line("02", "a", "sent", R"("request":"r2")");
        m_files["b"] = "12.3 b " + line("03", "b", "batched", R"("requests":"r2,r1","items":"2")") + "no line\n";
        CPPUNIT_ASSERT(explain("r1") == ExitCode::Ok);
        const std::string output = m_out.str();
        const auto sent = output.find("sent endpoint=e1");
        const auto batched = output.find("b  batched items=2");
        const auto refused = output.find("refused");
        CPPUNIT_ASSERT(sent != std::string::npos && batched != std::string::npos && refused != std::string::npos);
        CPPUNIT_ASSERT(sent < batched && batched < refused);
    }

    void showsStateChangesOfInvolvedEndpoints()
    {
        m_files["a"] = line("01", "a", "sent", R"("request":"r1","endpoint":"e1")")
            + line("02", "a", "left out", R"("endpoint":"e1")") + line("02", "a", "other", R"("endpoint":"e2")")
            + line("03", "a", "refused", R"("request":"r1")") + line("04", "a", "later", R"("endpoint":"e1")");
        m_files["b"] = "";
        CPPUNIT_ASSERT(explain("r1") == ExitCode::Ok);
        CPPUNIT_ASSERT(m_out.str().find("(meanwhile) left out") != std::string::npos);
        CPPUNIT_ASSERT(m_out.str().find("other") == std::string::npos);
        CPPUNIT_ASSERT(m_out.str().find("later") == std::string::npos);
    }

    void failsWhenNoLineNamesTheRequest()
    {
        m_files["a"] = m_files["b"] = "";
        CPPUNIT_ASSERT(explain("r1") == ExitCode::No);
    }

private:
    ExitCode explain(const std::string &request)
    {
        const CommandContext context{{}, m_out, m_err, [this](const std::string &path) {
                                         return std::optional<std::string>{m_files.at(path)};
                                     }};
        return explainRequest(context, {request, "a", "b"});
    }

    std::map<std::string, std::string> m_files;
    std::ostringstream m_out;
    std::ostringstream m_err;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExplainTest);
