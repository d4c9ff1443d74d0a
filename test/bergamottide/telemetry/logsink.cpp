#include "bergamottide/telemetry/logsink.h"

#include "bergamottide/telemetry/audittrail.h"

#include <cppunit/extensions/HelperMacros.h>
#include <log4cplus/callbackappender.h>
#include <log4cplus/clogger.h>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

using namespace bergamottide;

namespace {

using Lines = std::vector<std::string>;

void keepLine(void *cookie, const log4cplus_char_t *message, const log4cplus_char_t *, log4cplus_loglevel_t,
              const log4cplus_char_t *, const log4cplus_char_t *, unsigned long long, unsigned long,
              const log4cplus_char_t *, const log4cplus_char_t *, int)
{
    static_cast<Lines *>(cookie)->emplace_back(message);
}

/*! @brief Writes lines and returns those that reached the appender. */
Lines write(LogFormat format, Severity level, const std::vector<LogLine> &input)
{
    Lines lines;
    const ManualClock clock;
    LogSink sink{{format, level, InstanceName{"entry-1"}},
                 clock,
                 log4cplus::SharedAppenderPtr{new log4cplus::CallbackAppender{keepLine, &lines}}};
    for (const LogLine &line : input) {
        sink.write(line);
    }
    return lines;
}

} // namespace

class LogSinkTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LogSinkTest);
    CPPUNIT_TEST(textLineHasPrefixAndFields);
    CPPUNIT_TEST(jsonLineReadsBack);
    CPPUNIT_TEST(valuesCannotForgeALine);
    CPPUNIT_TEST(severitiesBelowTheLevelAreLeftOut);
    CPPUNIT_TEST(trailIsBoundedAndNumbered);
    CPPUNIT_TEST_SUITE_END();

public:
    void textLineHasPrefixAndFields()
    {
        const Lines lines = write(LogFormat::Text, Severity::Info,
                                  {{Severity::Info, Part::Config, "Document accepted.", {{"version", "3"}}}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lines.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"1970-01-01T00:00:01.000000Z info config: Document accepted. version=3"},
                             lines.front());
    }

    void jsonLineReadsBack()
    {
        const Lines lines = write(LogFormat::Json, Severity::Info,
                                  {{Severity::Error, Part::Net, "Closed.", {{"cause", "a \"b\"\n\xff"}}}});
        const auto json = nlohmann::json::parse(lines.at(0));
        CPPUNIT_ASSERT_EQUAL(std::string{"net"}, json.at("part").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string{"entry-1"}, json.at("instance").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string{"a \"b\"\n\xef\xbf\xbd"}, json.at("fields").at("cause").get<std::string>());
    }

    void valuesCannotForgeALine()
    {
        const std::string forged = "x\n1970-01-01T00:00:01.000000Z info net: Fine.";
        for (const LogFormat format : {LogFormat::Text, LogFormat::Json}) {
            for (const LogLine &line : {LogLine{Severity::Info, Part::Net, "Refused.", {{"path", forged}}},
                                        LogLine{Severity::Info, Part::Net, forged, {}}}) {
                const Lines lines = write(format, Severity::Info, {line});
                CPPUNIT_ASSERT_EQUAL(std::string::npos, lines.at(0).find('\n'));
            }
        }
    }

    void severitiesBelowTheLevelAreLeftOut()
    {
        const Lines lines =
            write(LogFormat::Text, Severity::Warning,
                  {{Severity::Info, Part::Net, "One.", {}}, {Severity::Warning, Part::Net, "Two.", {}}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lines.size());
    }

    void trailIsBoundedAndNumbered()
    {
        const ManualClock clock;
        Lines lines;
        AuditTrail trail{InstanceName{"side-1"}, clock, [&lines](const std::string &line) {
                             lines.push_back(line);
                         }};
        const AuditRecord record{AuditKind::Order, "m", "document", std::string(10'000, 'x')};
        for (std::size_t count = 0; count < AuditTrail::capacity + 5; ++count) {
            trail.record(record);
        }
        CPPUNIT_ASSERT_EQUAL(AuditTrail::capacity + 5, lines.size());
        CPPUNIT_ASSERT_EQUAL(AuditTrail::capacity, trail.since(0).size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, trail.since(0).front().sequence);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, trail.since(AuditTrail::capacity + 3).size());
        const auto json = nlohmann::json::parse(lines.back());
        CPPUNIT_ASSERT_EQUAL(std::string{"order"}, json.at("kind").get<std::string>());
        CPPUNIT_ASSERT(json.at("detail").get<std::string>().size() < AuditTrail::longestText + 10);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogSinkTest);
