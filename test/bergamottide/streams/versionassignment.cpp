#include "bergamottide/streams/versionassignment.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>
#include <cstdint>
#include <string>

using namespace bergamottide;
using namespace bergamottide::serving;

/*! @brief Assignment of streams to the software versions of a pool. */
class VersionAssignmentTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(VersionAssignmentTest);
    CPPUNIT_TEST(aQuarterOfThePromptsIsSpread);
    CPPUNIT_TEST(versionsGetStreamsByTheirEndpoints);
    CPPUNIT_TEST(promptsThatAreNotSpreadHaveOneVersion);
    CPPUNIT_TEST(versionThatGrowsTakesNoStreamsBetweenOthers);
    CPPUNIT_TEST(versionsWithoutEndpointsDoNotCount);
    CPPUNIT_TEST_SUITE_END();

public:
    void aQuarterOfThePromptsIsSpread()
    {
        std::size_t spread = 0;
        for (std::size_t number = 0; number < sampleCount; ++number) {
            spread += isSpreadOverVersions(part(number)) ? 1 : 0;
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, share(spread), 0.02);
    }

    void versionsGetStreamsByTheirEndpoints()
    {
        std::size_t first = 0;
        for (std::size_t number = 0; number < sampleCount; ++number) {
            first += assigned(number, part(number), {{m_v1, 1}, {m_v2, 11}}) == m_v1 ? 1 : 0;
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0 / 12.0, share(first), 0.02);
    }

    void promptsThatAreNotSpreadHaveOneVersion()
    {
        for (std::size_t number = 0; number < 100; ++number) {
            const engines::PromptPart lastPart = part(number);
            std::size_t first = 0;
            for (std::uint64_t stream = 0; stream < 40; ++stream) {
                first += assigned(stream, lastPart, {{m_v1, 3}, {m_v2, 3}}) == m_v1 ? 1 : 0;
            }
            CPPUNIT_ASSERT_EQUAL(isSpreadOverVersions(lastPart), first > 0 && first < 40);
        }
    }

    void versionThatGrowsTakesNoStreamsBetweenOthers()
    {
        for (std::size_t number = 0; number < sampleCount; ++number) {
            const SoftwareVersion before = assigned(number, part(number), {{m_v1, 4}, {m_v2, 2}, {m_v3, 3}});
            const SoftwareVersion after = assigned(number, part(number), {{m_v1, 4}, {m_v2, 5}, {m_v3, 3}});
            CPPUNIT_ASSERT(after == before || after == m_v2);
        }
    }

    void versionsWithoutEndpointsDoNotCount()
    {
        CPPUNIT_ASSERT(!assignedVersion(StreamKey{1}, part(1), {}));
        CPPUNIT_ASSERT(!assignedVersion(StreamKey{1}, part(1), {{m_v1, 0}}));
        CPPUNIT_ASSERT(assigned(1, part(1), {{m_v1, 0}, {m_v2, 1}}) == m_v2);
    }

private:
    static constexpr std::size_t sampleCount = 4000;

    [[nodiscard]] static engines::PromptPart part(std::size_t number)
    {
        return {std::to_string(number), 100};
    }

    [[nodiscard]] static SoftwareVersion assigned(std::uint64_t stream, const engines::PromptPart &lastPart,
                                                  const VersionCounts &versions)
    {
        return assignedVersion(StreamKey{stream}, lastPart, versions).value();
    }

    [[nodiscard]] static double share(std::size_t count)
    {
        return static_cast<double>(count) / static_cast<double>(sampleCount);
    }

    const SoftwareVersion m_v1{"v1"};
    const SoftwareVersion m_v2{"v2"};
    const SoftwareVersion m_v3{"v3"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(VersionAssignmentTest);
