#include "bergamottide/overload/loadmeter.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bergamottide;
using overload::LoadMeter;

/*! @brief Shares of processor and link that the work of a process takes. */
class LoadMeterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoadMeterTest);
    CPPUNIT_TEST(longRoundIsSpreadOverItsTime);
    CPPUNIT_TEST(processorTimeIsRelativeToTheShare);
    CPPUNIT_TEST(busierDirectionOfTheLinkCounts);
    CPPUNIT_TEST(costOfARequestIsThatOfTheScarcerResource);
    CPPUNIT_TEST(latenessIsForgotten);
    CPPUNIT_TEST(unrecordedTimeCounts);
    CPPUNIT_TEST_SUITE_END();

public:
    void longRoundIsSpreadOverItsTime()
    {
        LoadMeter meter{1.0, 0.0};
        meter.recordBusy(std::chrono::milliseconds{500}, m_now);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, meter.recent(m_now).processor, tolerance);
        const TimePoint later = m_now + std::chrono::milliseconds{400};
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, meter.recent(later).processor, tolerance);
    }

    void processorTimeIsRelativeToTheShare()
    {
        LoadMeter meter{0.1, 0.0};
        meter.recordProcessorTime(std::chrono::milliseconds{40}, m_now);
        const TimePoint later = m_now + std::chrono::seconds{1};
        meter.recordProcessorTime(std::chrono::milliseconds{90}, later);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, meter.recent(later).processor, tolerance);
    }

    void busierDirectionOfTheLinkCounts()
    {
        LoadMeter meter{1.0, 1'000'000.0};
        for (int round = 0; round < 30; ++round) {
            m_now += std::chrono::milliseconds{10};
            meter.recordTraffic(2'000, 5'000, m_now);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, meter.recent(m_now).link, 0.05);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(meter.recent(m_now).link, meter.recent(m_now).highest(), tolerance);
    }

    void costOfARequestIsThatOfTheScarcerResource()
    {
        LoadMeter meter{1.0, 1'000'000.0};
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, meter.secondsPerRequest(m_now), tolerance);
        for (int request = 0; request < 4; ++request) {
            meter.recordRequest(m_now);
            meter.recordTraffic(50'000, 1'000, m_now);
        }
        meter.recordBusy(std::chrono::milliseconds{80}, m_now);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.05, meter.secondsPerRequest(m_now), tolerance);
        const TimePoint later = m_now + std::chrono::seconds{2};
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, meter.secondsPerRequest(later), tolerance);
    }

    void latenessIsForgotten()
    {
        LoadMeter meter{1.0, 0.0};
        meter.recordLateness(std::chrono::milliseconds{20}, m_now);
        meter.recordLateness(std::chrono::milliseconds{80}, m_now);
        CPPUNIT_ASSERT(meter.recentLateness(m_now) == std::chrono::milliseconds{50});
        CPPUNIT_ASSERT(meter.recentLateness(m_now + std::chrono::milliseconds{400}) == Duration::zero());
    }

    void unrecordedTimeCounts()
    {
        LoadMeter meter{1.0, 0.0};
        meter.recordBusy(std::chrono::milliseconds{20}, m_now);
        CPPUNIT_ASSERT(meter.recordedUntil() == m_now);
        meter.recordRequest(m_now);
        const TimePoint later = m_now + std::chrono::milliseconds{400};
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, meter.recent(later, std::chrono::milliseconds{100}).processor, tolerance);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, meter.recent(later, std::chrono::milliseconds{400}).processor, tolerance);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.42, meter.secondsPerRequest(later, std::chrono::milliseconds{400}), tolerance);
    }

private:
    static constexpr double tolerance = 1e-3;

    TimePoint m_now{std::chrono::seconds{100}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadMeterTest);
