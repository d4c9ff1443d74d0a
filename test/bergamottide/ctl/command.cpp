#include "bergamottide/ctl/command.h"

#include "bergamottide/ctl/load.h"
#include "bergamottide/ctl/remote.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <map>
#include <sstream>
#include <string>

using namespace bergamottide;

namespace {

const std::string valid = "version: 3\npools: {s: {kind: service}}\npipelines: {p: {stages: [{name: a, pool: s}]}}\n"
                          "workspaces: {w: {weight: 2}}\n...\n";
const std::string changed = "version: 4\npools: {s: {kind: service}}\npipelines: {p: {stages: [{name: a, pool: s}]}}\n"
                            "workspaces: {w: {weight: 3}, v: {}}\n...\n";

/*! @brief Exit code and output of a command. */
struct Result
{
    ExitCode code{};
    std::string out;
    std::string err;
};

Result run(const std::vector<std::string> &arguments, OutputFormat format = OutputFormat::Text)
{
    const std::map<std::string, std::string> files{{"a", valid}, {"b", changed}, {"bad", "version: 0\n...\n"}};
    std::ostringstream out;
    std::ostringstream err;
    const auto read = [&files](const std::string &path) {
        const auto found = files.find(path);
        return found == files.end() ? std::nullopt : std::optional{found->second};
    };
    ControlOptions options;
    options.output = format;
    const ExitCode code = runCommand({options, out, err, read}, arguments);
    return {code, out.str(), err.str()};
}

void expectCode(ExitCode expected, const Result &result)
{
    CPPUNIT_ASSERT_EQUAL_MESSAGE(result.out + result.err, std::string{enumName(expected)},
                                 std::string{enumName(result.code)});
}

} // namespace

/*! @brief Subcommands and exit codes of the command line client. */
class CommandTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CommandTest);
    CPPUNIT_TEST(everyCommandHasHelp);
    CPPUNIT_TEST(wrongCommandLinesAreUsageErrors);
    CPPUNIT_TEST(validateReportsEveryIssue);
    CPPUNIT_TEST(diffListsChangedSections);
    CPPUNIT_TEST(showPrintsCanonicalForm);
    CPPUNIT_TEST(unreachableProcessIsReported);
    CPPUNIT_TEST(auditTrailsAreMergedByTime);
    CPPUNIT_TEST(loadSummaryComputesAttainmentLatencyAndCost);
    CPPUNIT_TEST_SUITE_END();

public:
    void everyCommandHasHelp()
    {
        for (const Command &command : commands()) {
            const Result result = run({"help", std::string{command.name}});
            expectCode(ExitCode::Ok, result);
            CPPUNIT_ASSERT(result.out.find(command.doc) != std::string::npos);
            CPPUNIT_ASSERT(run({"help"}).out.find(command.name) != std::string::npos);
        }
    }

    void wrongCommandLinesAreUsageErrors()
    {
        expectCode(ExitCode::Usage, run({}));
        expectCode(ExitCode::Usage, run({"fly"}));
        expectCode(ExitCode::Usage, run({"help", "fly"}));
        expectCode(ExitCode::Usage, run({"validate"}));
        expectCode(ExitCode::Usage, run({"validate", "a", "b"}));
        expectCode(ExitCode::Usage, run({"reference", "weather"}));
    }

    void validateReportsEveryIssue()
    {
        expectCode(ExitCode::Ok, run({"validate", "a"}));
        expectCode(ExitCode::Failed, run({"validate", "absent"}));
        const Result result = run({"validate", "bad"}, OutputFormat::Json);
        expectCode(ExitCode::No, result);
        const auto json = nlohmann::json::parse(result.out);
        CPPUNIT_ASSERT(!json.at("valid").get<bool>());
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, json.at("issues").size());
        CPPUNIT_ASSERT_EQUAL(std::string{"version"}, json.at("issues").at(0).at("path").get<std::string>());
    }

    void diffListsChangedSections()
    {
        expectCode(ExitCode::Ok, run({"diff", "a", "a"}));
        expectCode(ExitCode::No, run({"diff", "a", "bad"}));
        const Result result = run({"diff", "a", "b"});
        expectCode(ExitCode::No, result);
        CPPUNIT_ASSERT_EQUAL(std::string{"workspaces/v\n  + {}\nworkspaces/w\n  - {weight: 2}\n  + {weight: 3}\n"
                                         "version 3 to 4, 2 sections differ\n"},
                             result.out);
        CPPUNIT_ASSERT(!run({"diff", "b", "a"}).err.empty());
    }

    void showPrintsCanonicalForm()
    {
        const Result result = run({"show", "a"});
        expectCode(ExitCode::Ok, result);
        CPPUNIT_ASSERT(result.out.find("  w: {weight: 2}\n") != std::string::npos);
        expectCode(ExitCode::No, run({"show", "bad"}));
    }

    void unreachableProcessIsReported()
    {
        // Nothing listens on port 1 of the loopback interface.
        const Result result = run({"status", "127.0.0.1:1"});
        expectCode(ExitCode::Failed, result);
        CPPUNIT_ASSERT(result.err.find("127.0.0.1:1") != std::string::npos);
    }

    void auditTrailsAreMergedByTime()
    {
        const std::vector<std::string> merged = mergeAuditTrails(
            {"{\"time\":\"2026-01-01T00:00:02Z\",\"i\":1}\n{\"time\":\"2026-01-01T00:00:09Z\",\"i\":2}\n",
             "nonsense\n{\"i\":0}\n{\"time\":\"2026-01-01T00:00:05Z\",\"i\":3}\n"});
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, merged.size());
        CPPUNIT_ASSERT(merged[1].find("\"i\":3") != std::string::npos);
    }

    void loadSummaryComputesAttainmentLatencyAndCost()
    {
        LoadSummary summary;
        CPPUNIT_ASSERT_EQUAL(1.0, summary.attainment());
        for (int count = 1; count <= 99; ++count) {
            summary.add("completed", std::chrono::milliseconds{100 - count});
        }
        summary.add("not_run", std::chrono::milliseconds{1});
        CPPUNIT_ASSERT_EQUAL(0.99, summary.attainment());
        CPPUNIT_ASSERT(summary.quantile(0.5) == std::chrono::milliseconds{50});
        CPPUNIT_ASSERT(summary.quantile(1.0) == std::chrono::milliseconds{99});
        StageCosts before;
        addStageCosts("bergamottide_stage_useful_seconds_total{stage=\"a\",workspace=\"w\"} 1\n", before);
        StageCosts after;
        addStageCosts("# HELP x\nbergamottide_stage_useful_seconds_total{stage=\"a\",workspace=\"w\"} 3\n"
                      "bergamottide_stage_useful_seconds_total{stage=\"a\",workspace=\"v\"} 1.5\n",
                      after);
        summary.setCosts(before, after);
        const auto json = nlohmann::json::parse(summary.text(OutputFormat::Json));
        CPPUNIT_ASSERT_EQUAL(3.5, json.at("cost_seconds").at("a").at("useful").get<double>());
        CPPUNIT_ASSERT_EQUAL(1, json.at("outcomes").at("not_run").get<int>());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommandTest);
