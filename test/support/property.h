#pragma once

#include <cppunit/TestAssert.h>
#include <rapidcheck.h>

#include <cstdint>
#include <sstream>
#include <utility>

namespace bergamottide::test {

/**
 * @brief Checks a property with a fixed seed, so that every run gives the same verdict.
 * @tparam Property Function whose arguments are generated; it states the property by `RC_ASSERT`.
 * @param property Property to check.
 * @param seed Seed of the generated arguments.
 * @param cases Number of generated cases.
 */
template <typename Property>
void checkProperty(Property &&property, std::uint64_t seed = 1, int cases = 200)
{
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = cases;
    const auto result = rc::detail::checkTestable(std::forward<Property>(property), rc::detail::TestMetadata{}, params);
    std::ostringstream message;
    rc::detail::printResultMessage(result, message);
    CPPUNIT_ASSERT_MESSAGE(message.str(), result.template is<rc::detail::SuccessResult>());
}

} // namespace bergamottide::test
