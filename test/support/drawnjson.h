#pragma once

#include <nlohmann/json_fwd.hpp>

#include <random>
#include <string>

namespace bergamottide::test {

/*! @brief Draws the text of one JSON value by its grammar; numbers, texts and depths are often beyond usual ranges. */
[[nodiscard]] std::string drawJson(std::mt19937 &random);

/**
 * @brief Draws the text of a document that differs from a sound one.
 *
 * Replaces, adds or removes some values, and may damage the text itself. The result may be no JSON.
 */
[[nodiscard]] std::string drawMutation(std::mt19937 &random, const nlohmann::json &sound);

} // namespace bergamottide::test
