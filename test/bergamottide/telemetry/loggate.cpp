#include "bergamottide/telemetry/loggate.h"
#include "bergamottide/telemetry/logsink.h"
#include "bergamottide/telemetry/outputappender.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include <unistd.h>

using namespace bergamottide;

/*! @brief Bounds on the volume of a log, and a reader that stops. */
class LogGateTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LogGateTest);
    CPPUNIT_TEST(ordinaryLinesStayWithinTheirBound);
    CPPUNIT_TEST(followsTheSameRequestsInEveryProcess);
    CPPUNIT_TEST(warningsAreWrittenWhileOrdinaryLinesAreNot);
    CPPUNIT_TEST(allLinesStayWithinTheirBoundAndAreCounted);
    CPPUNIT_TEST(stoppedReaderLosesLinesAndDelaysNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void ordinaryLinesStayWithinTheirBound()
    {
        LogGate gate{{.ordinaryLines = 100, .allLines = 100'000}};
        int written = 0;
        for (int second = 0; second < 20; ++second) {
            written = 0;
            for (int request = 0; request < 5000; ++request) {
                written += gate.admits(line(request), at(second)) ? 1 : 0;
            }
        }
        CPPUNIT_ASSERT(written > 20);
        CPPUNIT_ASSERT(written <= 150);
    }

    void followsTheSameRequestsInEveryProcess()
    {
        LogGate busy{{.ordinaryLines = 10, .allLines = 100'000}};
        LogGate calm{{.ordinaryLines = 100, .allLines = 100'000}};
        for (int second = 0; second < 20; ++second) {
            for (int request = 0; request < 1000; ++request) {
                const bool byBusy = busy.admits(line(request), at(second));
                const bool byCalm = calm.admits(line(request), at(second));
                CPPUNIT_ASSERT(!byBusy || byCalm || second < 12);
            }
        }
    }

    void warningsAreWrittenWhileOrdinaryLinesAreNot()
    {
        LogGate gate{{.ordinaryLines = 10, .allLines = 2000}};
        for (int second = 0; second < 10; ++second) {
            for (int request = 0; request < 1000; ++request) {
                static_cast<void>(gate.admits(line(request), at(second)));
            }
        }
        LogLine warning = line(3);
        warning.severity = Severity::Warning;
        for (int count = 0; count < 50; ++count) {
            CPPUNIT_ASSERT(gate.admits(warning, at(10)));
        }
    }

    void allLinesStayWithinTheirBoundAndAreCounted()
    {
        LogGate gate{{.ordinaryLines = 10, .allLines = 20}};
        LogLine warning = line(1);
        warning.severity = Severity::Warning;
        int written = 0;
        for (int count = 0; count < 100; ++count) {
            written += gate.admits(warning, at(1)) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(20, written);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{80}, gate.dropped());
        CPPUNIT_ASSERT(!gate.summary(at(1)));
        const auto summary = gate.summary(at(2));
        CPPUNIT_ASSERT(summary);
        CPPUNIT_ASSERT_EQUAL(std::string{"80"}, summary->fields.front().second);
        CPPUNIT_ASSERT(!gate.summary(at(2)));
    }

    void stoppedReaderLosesLinesAndDelaysNothing()
    {
        int ends[2];
        CPPUNIT_ASSERT_EQUAL(0, pipe(ends));
        const SystemClock clock;
        auto *appender = new OutputAppender{ends[1]};
        const log4cplus::SharedAppenderPtr shared{appender};
        LogSink sink{LogOptions{LogFormat::Json, Severity::Info, InstanceName{"i"}}, clock, shared};
        // Nobody reads: a pipe holds some 65,000 bytes, these lines are four times as many. A write that waits hangs.
        for (int count = 0; count < 2000; ++count) {
            sink.write(line(count));
        }
        CPPUNIT_ASSERT(appender->lost() > 0);
        CPPUNIT_ASSERT(appender->lost() < 2000);
        close(ends[0]);
        close(ends[1]);
    }

private:
    static TimePoint at(int second)
    {
        return TimePoint{std::chrono::seconds{100 + second}};
    }

    static LogLine line(int request)
    {
        return {Severity::Info, Part::Entry, "A request is sent.", {{"request", "request-" + std::to_string(request)}}};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogGateTest);
