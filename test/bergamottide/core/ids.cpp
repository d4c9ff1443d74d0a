#include "bergamottide/core/ids.h"
#include "bergamottide/core/error.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

using namespace bergamottide;

class IdsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(IdsTest);
    CPPUNIT_TEST(requestIdRoundTrips);
    CPPUNIT_TEST(requestIdRefusesOtherTexts);
    CPPUNIT_TEST(patternedIdentitiesDoNotCollide);
    CPPUNIT_TEST(reasonNamesAreCompleteAndDistinct);
    CPPUNIT_TEST(errorKeepsReasonAndField);
    CPPUNIT_TEST_SUITE_END();

public:
    void requestIdRoundTrips()
    {
        const RequestId id{0x0123456789abcdefULL, 0xfedcba9876543210ULL};
        CPPUNIT_ASSERT_EQUAL(std::string{"0123456789abcdeffedcba9876543210"}, id.text());
        CPPUNIT_ASSERT(RequestId::parse(id.text()) == id);
    }

    void requestIdRefusesOtherTexts()
    {
        CPPUNIT_ASSERT(!RequestId::parse(""));
        CPPUNIT_ASSERT(!RequestId::parse("0123456789abcdeffedcba987654321"));
        CPPUNIT_ASSERT(!RequestId::parse("0123456789abcdeffedcba987654321g"));
    }

    void patternedIdentitiesDoNotCollide()
    {
        constexpr std::uint64_t pattern = 0x9e3779b97f4a7c15ULL;
        std::set<std::size_t> hashes;
        for (std::uint64_t number = 1; number <= 1000; ++number) {
            hashes.insert(std::hash<RequestId>{}(RequestId{number * pattern, number}));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1000}, hashes.size());
    }

    void reasonNamesAreCompleteAndDistinct()
    {
        std::set<std::string_view> names;
        for (const auto name : EnumNames<Reason>::names) {
            names.insert(name);
        }
        CPPUNIT_ASSERT_EQUAL(EnumNames<Reason>::names.size(), names.size());
        CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(Reason::Internal) + 1, names.size());
    }

    void errorKeepsReasonAndField()
    {
        const absl::Status status = makeError(Reason::InvalidDeadline, "deadline", "The deadline is zero.");
        CPPUNIT_ASSERT(errorReason(status) == Reason::InvalidDeadline);
        CPPUNIT_ASSERT_EQUAL(std::string{"deadline"}, errorField(status));
        CPPUNIT_ASSERT(errorReason(absl::OkStatus()) == Reason::None);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IdsTest);
