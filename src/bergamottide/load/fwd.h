#pragma once

/**
 * @file
 * @brief Forward declarations of the module `load`, which estimates the load and the pace of endpoints.
 */
namespace bergamottide::load {

struct EndpointLoad;
struct LoadCandidate;
class LoadTable;
class ReportSeries;
class ValueDecay;

} // namespace bergamottide::load
