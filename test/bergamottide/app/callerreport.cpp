#include "bergamottide/app/callerreport.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

using namespace bergamottide;
using overload::HeldFor;

/*! @brief What operators see of callers that are rejected or cut off. */
class CallerReportTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CallerReportTest);
    CPPUNIT_TEST(refusalsAreCountedEachAndLoggedTogether);
    CPPUNIT_TEST(heldMemoryIsReportedByPurpose);
    CPPUNIT_TEST(scarcityIsLoggedOnceAtItsBeginAndEnd);
    CPPUNIT_TEST(nothingIsLoggedInCalm);
    CPPUNIT_TEST_SUITE_END();

public:
    void refusalsAreCountedEachAndLoggedTogether()
    {
        for (int refusal = 0; refusal < 1000; ++refusal) {
            m_report.recordRefusal(refusal < 3 ? CallerRefusal::ReaderTooSlow : CallerRefusal::RequestMemory);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1000}, m_observations.size());
        CPPUNIT_ASSERT(m_lines.empty());
        m_report.report();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_lines.size());
        const decltype(LogLine::fields) expected{{"request_memory", "997"}, {"reader_too_slow", "3"}};
        CPPUNIT_ASSERT(expected == m_lines.front().fields);
        m_report.report();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_lines.size());
    }

    void heldMemoryIsReportedByPurpose()
    {
        overload::MemoryAccount::Holder holder{m_memory};
        CPPUNIT_ASSERT(holder.resize(HeldFor::Response, 1234));
        m_report.report();
        const Observe &last = m_observations.back();
        CPPUNIT_ASSERT(Metric::HeldBytes == last.metric);
        CPPUNIT_ASSERT_EQUAL(std::string{"response"}, last.labels.front());
        CPPUNIT_ASSERT_EQUAL(1234.0, last.value);
    }

    void scarcityIsLoggedOnceAtItsBeginAndEnd()
    {
        {
            overload::MemoryAccount::Holder holder{m_memory};
            holder.record(HeldFor::Request, limit);
            m_report.report();
            m_report.report();
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_lines.size());
            CPPUNIT_ASSERT(Severity::Warning == m_lines.front().severity);
        }
        m_report.report();
        m_report.report();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_lines.size());
        CPPUNIT_ASSERT(Severity::Info == m_lines.back().severity);
    }

    void nothingIsLoggedInCalm()
    {
        m_report.report();
        CPPUNIT_ASSERT(m_lines.empty());
    }

private:
    static constexpr std::size_t limit = 1'000'000;

    overload::MemoryAccount m_memory{limit, 10};
    std::vector<Observe> m_observations;
    std::vector<LogLine> m_lines;
    CallerReport m_report{m_memory,
                          {[this](const Observe &observation) { m_observations.push_back(observation); },
                           [this](const LogLine &line) {
                               m_lines.push_back(line);
                           }}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerReportTest);
