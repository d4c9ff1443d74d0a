#include "bergamottide/config/parser.h"

#include "bergamottide/config/section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <string>
#include <vector>

using namespace bergamottide;

namespace {

constexpr std::string_view head = "version: 1\n"
                                  "pools:\n"
                                  "  engines: {kind: engine}\n"
                                  "  carts: {kind: service, path: /x}\n"
                                  "models:\n"
                                  "  m: {versions: [v1], adapters: [a1]}\n"
                                  "pipelines:\n"
                                  "  p:\n"
                                  "    stages:\n"
                                  "      - {name: s, pool: engines, maxTokens: 5}\n"
                                  "workspaces:\n"
                                  "  w: {}\n";

std::string document(std::string_view rest)
{
    return std::string{head}.append(rest).append("...\n");
}

/*! @brief A text, and the one issue that it must give. */
struct Case
{
    std::string text;
    int line;
    std::string path;
    IssueKind kind;
};

std::string textOf(const std::vector<ConfigIssue> &issues)
{
    std::string text;
    for (const ConfigIssue &issue : issues) {
        text += issueText(issue) + '\n';
    }
    return text;
}

void expect(const Case &expected)
{
    const ParseResult result = parseDocument(expected.text);
    const std::string message = expected.path + "\n" + textOf(result.issues);
    CPPUNIT_ASSERT_MESSAGE(message, !result.document);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::size_t{1}, result.issues.size());
    const ConfigIssue &issue = result.issues.front();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(message, expected.line, issue.line);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(message, expected.path, issue.path);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::string{enumName(expected.kind)}, std::string{enumName(issue.kind)});
    CPPUNIT_ASSERT_MESSAGE(message, !issue.reason.empty());
}

} // namespace

class ParserTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ParserTest);
    CPPUNIT_TEST(valuesAreReadWithTheirUnits);
    CPPUNIT_TEST(eachMistakeIsLocatedAlone);
    CPPUNIT_TEST(everyMistakeIsReportedAtOnce);
    CPPUNIT_TEST(everyTruncationIsRefused);
    CPPUNIT_TEST(hostileTextsAreRefused);
    CPPUNIT_TEST(digestDependsOnValuesAlone);
    CPPUNIT_TEST(propertyDamagedTextsAreRefusedOrRoundTrip);
    CPPUNIT_TEST_SUITE_END();

public:
    void valuesAreReadWithTheirUnits()
    {
        const ParseResult result =
            parseDocument(document("kinds:\n  k: {value: 2.5, deadline: 1.5s, idempotent: false}\n"
                                   "policy: {maxBody: 2MiB, zoneDistance: 250us, queueLimit: 7}\n"
                                   "bindings:\n  - {workspace: w, pipeline: p, model: m, adapter: a1, version: v1}\n"));
        CPPUNIT_ASSERT_EQUAL(std::string{}, textOf(result.issues));
        const Document &read = *result.document;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, read.version);
        const Kind &kind = read.kinds.at(KindName{"k"});
        CPPUNIT_ASSERT_EQUAL(2.5, kind.value);
        CPPUNIT_ASSERT(kind.deadline == std::chrono::milliseconds{1500});
        CPPUNIT_ASSERT(!kind.idempotent);
        CPPUNIT_ASSERT_EQUAL(2U << 20U, read.policy.maxBodyBytes);
        CPPUNIT_ASSERT(read.policy.zoneDistance == std::chrono::microseconds{250});
        CPPUNIT_ASSERT_EQUAL(7U, read.policy.queueLimit);
        CPPUNIT_ASSERT_EQUAL(std::string{"a1"}, read.bindings.at(0).adapter.text());
        CPPUNIT_ASSERT(read.pools.at(PoolName{"carts"}).kind == PoolKind::Service);
    }

    void eachMistakeIsLocatedAlone()
    {
        const std::string bound = "  - {workspace: w, pipeline: p, model: m}\n";
        const std::vector<Case> cases{
            {"version: 1\npools: {e: {kind: engine}}\npipelines: {p: {stages: [{name: s, pool: e}]}}\nworkspaces: "
             "{}\n...\n",
             4, "workspaces", IssueKind::MissingField},
            {document("colour: 1\n"), 13, "colour", IssueKind::UnknownField},
            {document("policy: {queueLimits: 1}\n"), 13, "policy.queueLimits", IssueKind::UnknownField},
            {document("policy: {queueLimit: 0}\n"), 13, "policy.queueLimit", IssueKind::OutOfRange},
            {document("policy: {queueLimit: many}\n"), 13, "policy.queueLimit", IssueKind::InvalidValue},
            {document("policy: {queueLimit: \"7\"}\n"), 13, "policy.queueLimit", IssueKind::InvalidValue},
            {document("policy: {queueLimit: [7]}\n"), 13, "policy.queueLimit", IssueKind::WrongType},
            {document("policy: {queueLimit: -1}\n"), 13, "policy.queueLimit", IssueKind::InvalidValue},
            {document("policy: {queueLimit: 99999999999999999999}\n"), 13, "policy.queueLimit",
             IssueKind::InvalidValue},
            {document("policy: {reportPeriod: 250}\n"), 13, "policy.reportPeriod", IssueKind::InvalidValue},
            {document("policy: {reportPeriod: 2 days}\n"), 13, "policy.reportPeriod", IssueKind::InvalidValue},
            {document("policy: {maxBody: 1TB}\n"), 13, "policy.maxBody", IssueKind::InvalidValue},
            {document("policy: {maxBody: 100GB}\n"), 13, "policy.maxBody", IssueKind::OutOfRange},
            {document("policy: {retryBudget: .nan}\n"), 13, "policy.retryBudget", IssueKind::InvalidValue},
            {document("policy: {queueLimit: 5, ledgerLimit: 4}\n"), 13, "policy.ledgerLimit", IssueKind::Conflict},
            {document("policy: []\n"), 13, "policy", IssueKind::WrongType},
            {document("policy: {queueLimit: 5, queueLimit: 6}\n"), 13, "policy.queueLimit", IssueKind::Duplicate},
            {document("kinds: {a: {}, a: {}}\n"), 13, "kinds.a", IssueKind::Duplicate},
            {document("kinds: {a b: {}}\n"), 13, "kinds.a b", IssueKind::OutOfRange},
            {document("kinds: {a: {value: 0}}\n"), 13, "kinds.a.value", IssueKind::OutOfRange},
            {document("kinds: {a: {idempotent: no}}\n"), 13, "kinds.a.idempotent", IssueKind::InvalidValue},
            {document("kinds: {a: {deadline: 2m}}\n"), 13, "kinds.a.deadline", IssueKind::Conflict},
            {document("bindings:\n  - {workspace: w}\n"), 14, "bindings[0].pipeline", IssueKind::MissingField},
            {document("bindings:\n" + bound + bound), 15, "bindings[1]", IssueKind::Duplicate},
            {document("bindings:\n  - {workspace: w, pipeline: p}\n"), 14, "bindings[0].model",
             IssueKind::MissingField},
            {document("bindings:\n  - {workspace: v, pipeline: p, model: m}\n"), 14, "bindings[0].workspace",
             IssueKind::UnknownReference},
            {document("bindings:\n  - {workspace: w, pipeline: q, model: m}\n"), 14, "bindings[0].pipeline",
             IssueKind::UnknownReference},
            {document("bindings:\n  - {workspace: w, pipeline: p, model: n}\n"), 14, "bindings[0].model",
             IssueKind::UnknownReference},
            {document("bindings:\n  - {workspace: w, pipeline: p, model: m, adapter: b}\n"), 14, "bindings[0].adapter",
             IssueKind::UnknownReference},
            {document("bindings:\n  - workspace: w\n    pipeline: p\n    model: m\n    version: v2\n"), 17,
             "bindings[0].version", IssueKind::UnknownReference},
        };
        for (const Case &one : cases) {
            expect(one);
        }
    }

    void everyMistakeIsReportedAtOnce()
    {
        const ParseResult result = parseDocument("version: 0\n"
                                                 "pools:\n"
                                                 "  a: {kind: engine, path: /x}\n"
                                                 "  b: {kind: motor}\n"
                                                 "pipelines:\n"
                                                 "  p:\n"
                                                 "    stages:\n"
                                                 "      - {name: s, pool: b, repeatable: false}\n"
                                                 "      - {name: s, pool: c}\n"
                                                 "  q: {stages: []}\n"
                                                 "workspaces:\n"
                                                 "  w: {keyDigests: [abc]}\n"
                                                 "...\n");
        std::vector<std::string> found;
        for (const ConfigIssue &issue : result.issues) {
            found.push_back(std::to_string(issue.line) + ' ' + issue.path);
        }
        const std::vector<std::string> expected{"1 version",
                                                "3 pools.a.path",
                                                "4 pools.b.kind",
                                                "8 pipelines.p.stages[0].repeatable",
                                                "9 pipelines.p.stages[1].name",
                                                "9 pipelines.p.stages[1].pool",
                                                "10 pipelines.q.stages",
                                                "12 workspaces.w.keyDigests[0]"};
        CPPUNIT_ASSERT_MESSAGE(textOf(result.issues), expected == found);
    }

    void everyTruncationIsRefused()
    {
        const std::string whole = document("policy: {queueLimit: 5}\n");
        CPPUNIT_ASSERT(parseDocument(whole).document);
        // Without the last line end the marker still stands.
        for (std::size_t length = 0; length + 1 < whole.size(); ++length) {
            CPPUNIT_ASSERT_MESSAGE(std::to_string(length), !parseDocument(whole.substr(0, length)).document);
        }
    }

    void hostileTextsAreRefused()
    {
        const std::vector<std::string> texts{
            "",
            "\n",
            "a",
            "[]\n...\n",
            "{\n...\n",
            "\x01\x02",
            "version: 1\n...\n---\nversion: 2\n...\n",
            document("policy: &a {queueLimit: 1}\n"),
            document("kinds: {a: &b {}, c: *b}\n"),
            document("policy: !!binary aGk=\n"),
            document("policy: " + std::string(5000, '[') + "\n"),
            document("kinds: {" + std::string(200'000, ',') + "}\n"),
            document("# " + std::string(1U << 20U, 'x') + "\n"),
            document("? [a, b]\n: 1\n"),
        };
        for (const std::string &text : texts) {
            const ParseResult result = parseDocument(text);
            CPPUNIT_ASSERT_MESSAGE(text.substr(0, 200), !result.document && !result.issues.empty());
            CPPUNIT_ASSERT(result.issues.size() <= IssueList::limit + 1);
        }
    }

    void digestDependsOnValuesAlone()
    {
        const ParseResult one = parseDocument(document("policy: {queueLimit: 256, maxBody: 2MiB}\n"));
        const ParseResult same = parseDocument(document("# comment\npolicy:\n  maxBody: 2048KiB\n"));
        const ParseResult other = parseDocument(document("policy: {maxBody: 3MiB}\n"));
        CPPUNIT_ASSERT(one.document && same.document && other.document);
        CPPUNIT_ASSERT_EQUAL(one.digest, same.digest);
        CPPUNIT_ASSERT(one.digest != other.digest);
        const ParseResult again = parseDocument(writeDocument(*one.document));
        CPPUNIT_ASSERT_EQUAL(std::string{}, textOf(again.issues));
        CPPUNIT_ASSERT_EQUAL(one.digest, again.digest);
    }

    void propertyDamagedTextsAreRefusedOrRoundTrip()
    {
        const std::string whole = document("kinds: {k: {value: 2.5, deadline: 1.5s}}\npolicy:\n  maxBody: 2MiB\n"
                                           "bindings:\n  - {workspace: w, pipeline: p, model: m, version: v1}\n");
        const std::string bytes = "{}[]:,-#&*!|>'\"%@`?\\ \n\t\r0129azA.\x7f\xc3";
        const bool held = rc::check([&whole, &bytes](const std::vector<std::uint16_t> &damage) {
            std::string text = whole;
            for (std::size_t index = 0; index + 1 < damage.size(); index += 2) {
                const std::size_t place = damage[index] % text.size();
                const char byte = bytes[damage[index + 1] % bytes.size()];
                damage[index + 1] % 3 == 0 ? void(text.insert(place, 1, byte)) : void(text[place] = byte);
            }
            const ParseResult result = parseDocument(text);
            RC_ASSERT(result.document.has_value() == result.issues.empty());
            if (result.document) {
                RC_ASSERT(parseDocument(writeDocument(*result.document)).digest == result.digest);
            }
        });
        CPPUNIT_ASSERT(held);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ParserTest);
