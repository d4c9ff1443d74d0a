#pragma once

/**
 * @file
 * @brief Forward declarations of the module `forecasting`, which measures the error of forecast responses.
 */
namespace bergamottide::forecasting {

class ForecastError;

} // namespace bergamottide::forecasting
