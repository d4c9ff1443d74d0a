#include "bergamottide/forecasting/forecasterror.h"

#include "support/property.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <vector>

using namespace bergamottide;
using bergamottide::forecasting::ForecastError;
using std::chrono::milliseconds;
using std::chrono::seconds;

/*! @brief The margin follows the recent errors of the forecast, within its bounds. */
class ForecastErrorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ForecastErrorTest);
    CPPUNIT_TEST(marginIsZeroWithoutSamples);
    CPPUNIT_TEST(twentySamplesAreNeeded);
    CPPUNIT_TEST(earlyResponsesGiveANegativeMargin);
    CPPUNIT_TEST(marginCoversTheSpreadOfTheErrors);
    CPPUNIT_TEST(errorsOfAnEarlierBurstFade);
    CPPUNIT_TEST(oldSamplesAreForgotten);
    CPPUNIT_TEST(marginStaysWithinItsBounds);
    CPPUNIT_TEST(constantErrorIsTheMargin);
    CPPUNIT_TEST(marginMovesWithTheErrors);
    CPPUNIT_TEST_SUITE_END();

public:
    void marginIsZeroWithoutSamples()
    {
        CPPUNIT_ASSERT(m_error.margin(objective, m_now) == Duration::zero());
        CPPUNIT_ASSERT(!m_error.isReliable(m_now));
    }

    /*! @brief Guards against decisions by the errors of one or two stage calls right after a start. */
    void twentySamplesAreNeeded()
    {
        recordEvery(milliseconds{10}, milliseconds{200}, 19);
        CPPUNIT_ASSERT(!m_error.isReliable(m_now));
        recordEvery(milliseconds{10}, milliseconds{200}, 1);
        CPPUNIT_ASSERT(m_error.isReliable(m_now));
    }

    /*! @brief Guards against rejecting requests whose responses are earlier than forecast, as the less urgent ones are.
     */
    void earlyResponsesGiveANegativeMargin()
    {
        recordEvery(milliseconds{10}, milliseconds{-200}, 50);
        CPPUNIT_ASSERT(m_error.margin(objective, m_now) == milliseconds{-200});
        recordEvery(milliseconds{10}, milliseconds{-9000}, 2000);
        CPPUNIT_ASSERT(m_error.margin(objective, m_now) == -objective / 3);
    }

    /*! @brief Guards against a margin by the mean alone, with which half of the responses are late. */
    void marginCoversTheSpreadOfTheErrors()
    {
        for (int sample = 0; sample < 100; ++sample) {
            recordEvery(milliseconds{10}, sample % 2 == 0 ? milliseconds{100} : milliseconds{300}, 1);
        }
        const Duration margin = m_error.margin(objective, m_now);
        CPPUNIT_ASSERT(margin > milliseconds{270} && margin < milliseconds{330});
    }

    /*! @brief Guards against a process that rejects requests because of a burst that is long over. */
    void errorsOfAnEarlierBurstFade()
    {
        recordEvery(milliseconds{20}, milliseconds{600}, 100);
        CPPUNIT_ASSERT(m_error.margin(objective, m_now) == milliseconds{600});
        recordEvery(milliseconds{20}, milliseconds{0}, 2000);
        CPPUNIT_ASSERT(m_error.margin(objective, m_now) < milliseconds{60});
    }

    /*! @brief Guards against a margin by samples from a time with another load, on a route without requests since. */
    void oldSamplesAreForgotten()
    {
        recordEvery(milliseconds{20}, milliseconds{600}, 100);
        m_now += seconds{31};
        CPPUNIT_ASSERT(!m_error.isReliable(m_now));
        CPPUNIT_ASSERT(m_error.margin(objective, m_now) == Duration::zero());
        recordEvery(milliseconds{20}, milliseconds{100}, 19);
        CPPUNIT_ASSERT(!m_error.isReliable(m_now));
        CPPUNIT_ASSERT(m_error.margin(objective, m_now) == milliseconds{100});
    }

    void marginStaysWithinItsBounds()
    {
        test::checkProperty([](const std::vector<std::pair<int, std::uint16_t>> &samples, std::uint32_t objectiveMs) {
            ForecastError error;
            TimePoint now{seconds{100}};
            const Duration bound = milliseconds{objectiveMs % 10'000};
            for (const auto &[errorMs, pauseMs] : samples) {
                now += milliseconds{pauseMs};
                error.record(milliseconds{errorMs % 100'000}, now);
                const Duration margin = error.margin(bound, now);
                RC_ASSERT(-margin * 3 <= bound && margin * 3 <= bound);
            }
        });
    }

    void constantErrorIsTheMargin()
    {
        test::checkProperty([](const std::vector<std::uint8_t> &pausesMs, std::uint8_t errorMs) {
            ForecastError error;
            TimePoint now{seconds{100}};
            for (const std::uint8_t pauseMs : pausesMs) {
                now += milliseconds{pauseMs};
                error.record(milliseconds{errorMs}, now);
            }
            const Duration expected = pausesMs.empty() ? Duration::zero() : milliseconds{errorMs};
            RC_ASSERT(error.margin(objective, now) == expected);
        });
    }

    /*! @brief Errors that are all greater by a time give a margin that is greater by that time. */
    void marginMovesWithTheErrors()
    {
        test::checkProperty([](const std::vector<std::pair<std::uint8_t, std::uint8_t>> &samples, std::uint8_t moreMs) {
            RC_PRE(!samples.empty());
            ForecastError error;
            ForecastError greater;
            TimePoint now{seconds{100}};
            for (const auto &[errorMs, pauseMs] : samples) {
                now += milliseconds{pauseMs};
                error.record(milliseconds{errorMs}, now);
                greater.record(milliseconds{errorMs} + milliseconds{moreMs}, now);
            }
            const Duration difference = greater.margin(objective, now) - error.margin(objective, now);
            // Margins are cut to microseconds.
            RC_ASSERT(std::chrono::abs(difference - milliseconds{moreMs}) <= Duration{1});
        });
    }

private:
    static constexpr Duration objective = seconds{3};

    void recordEvery(Duration pause, Duration error, int count)
    {
        for (int sample = 0; sample < count; ++sample) {
            m_now += pause;
            m_error.record(error, m_now);
        }
    }

    ForecastError m_error;
    TimePoint m_now{seconds{100}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForecastErrorTest);
