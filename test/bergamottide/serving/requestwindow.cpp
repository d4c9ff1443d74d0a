#include "bergamottide/retries/requestwindow.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstddef>
#include <random>
#include <vector>

using namespace bergamottide;
using serving::RequestWindow;
using std::chrono::milliseconds;

/*! @brief Least number of requests in a sliding window. */
class RequestWindowTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestWindowTest);
    CPPUNIT_TEST(requestsCountOneWindowAfterTheyArrived);
    CPPUNIT_TEST(fewestIsThatOfAllWindowsThatEndInTheLastOne);
    CPPUNIT_TEST_SUITE_END();

public:
    void requestsCountOneWindowAfterTheyArrived()
    {
        RequestWindow requests;
        TimePoint now = start;
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, requests.fewest(window, now));
        for (; now < start + window; now += milliseconds{10}) {
            requests.record(window, now);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, requests.fewest(window, now - milliseconds{10}));
        // Those that arrived after the first half of the window.
        CPPUNIT_ASSERT_EQUAL(std::size_t{49}, requests.fewest(window, now + window / 2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, requests.fewest(window, now + window));
    }

    void fewestIsThatOfAllWindowsThatEndInTheLastOne()
    {
        std::mt19937_64 random{1};
        for (int repetition = 0; repetition < 20; ++repetition) {
            compareWithAllWindows(random);
        }
    }

private:
    static constexpr Duration window = milliseconds{1000};
    static constexpr TimePoint start{std::chrono::seconds{100}};

    static void compareWithAllWindows(std::mt19937_64 &random)
    {
        RequestWindow requests;
        std::vector<TimePoint> times;
        std::uint64_t meanGap = 5;
        static_cast<void>(requests.fewest(window, start));
        for (TimePoint now = start; now < start + window * 8; now += milliseconds{1}) {
            meanGap = random() % 300 == 0 ? 2 + random() % 100 : meanGap;
            if (random() % meanGap == 0) {
                requests.record(window, now);
                times.push_back(now);
            }
            if (random() % 50 != 0) {
                continue;
            }
            const std::size_t expected = fewestOfAllWindows(times, now);
            const std::size_t actual = requests.fewest(window, now);
            CPPUNIT_ASSERT(actual <= expected && actual + 1 >= expected);
        }
    }

    [[nodiscard]] static std::size_t fewestOfAllWindows(const std::vector<TimePoint> &times, TimePoint now)
    {
        std::size_t fewest = times.size();
        for (TimePoint end = now - window; end <= now; end += milliseconds{1}) {
            const auto count =
                std::ranges::count_if(times, [end](TimePoint at) { return at > end - window && at <= end; });
            fewest = std::min(fewest, static_cast<std::size_t>(count));
        }
        return fewest;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestWindowTest);
