#include "bergamottide/entry/resultbuffer.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <xxhash.h>

#include <vector>

using namespace bergamottide;

class ResultBufferTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ResultBufferTest);
    CPPUNIT_TEST(piecesInAnyOrderGiveTheCompleteResult);
    CPPUNIT_TEST(rejectPiecesAboveTheLimit);
    CPPUNIT_TEST_SUITE_END();

public:
    void piecesInAnyOrderGiveTheCompleteResult()
    {
        const bool passed = rc::check("any order, overlap and repetition", [](const std::string &text) {
            ResultBuffer buffer{text.size()};
            buffer.finish(text.size(), XXH3_64bits(text.data(), text.size()));
            const auto cuts =
                *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, text.size() + 1));
            for (const std::size_t cut : cuts) {
                const auto length = *rc::gen::inRange<std::size_t>(0, text.size() - cut + 1);
                RC_ASSERT(buffer.add(cut, text.substr(cut, length)) != PieceResult::TooLarge);
            }
            RC_ASSERT(text.starts_with(buffer.bytes()));
            static_cast<void>(buffer.add(buffer.contiguousBytes(), text.substr(buffer.contiguousBytes())));
            RC_ASSERT(buffer.isComplete() && buffer.isVerified());
        });
        CPPUNIT_ASSERT(passed);
    }

    void rejectPiecesAboveTheLimit()
    {
        ResultBuffer buffer{4};
        CPPUNIT_ASSERT(buffer.add(0, "abcde") == PieceResult::TooLarge);
        CPPUNIT_ASSERT(buffer.add(~std::uint64_t{0}, "a") == PieceResult::TooLarge);
        CPPUNIT_ASSERT(buffer.add(0, "abcd") == PieceResult::Added);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResultBufferTest);
