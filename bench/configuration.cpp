#include "platform/largeconfiguration.h"
#include "storecodec.h"

#include <benchmark/benchmark.h>

#include <cstddef>
#include <string>

/**
 * @file
 * @brief Time of reading a watch's answer with versions of a configuration of 1 MB, by their number, and of decoding
 * one.
 */

namespace {

using namespace bergamottide;

constexpr std::size_t configurationBytes = 1'000'000;

void readPage(benchmark::State &state)
{
    const std::string body = test::configurationChanges(static_cast<std::size_t>(state.range(0)), configurationBytes);
    for (auto step : state) {
        benchmark::DoNotOptimize(platform::decodePage(body));
    }
}

void decode(benchmark::State &state)
{
    const std::string value = test::largeConfiguration(1, configurationBytes);
    for (auto step : state) {
        benchmark::DoNotOptimize(platform::decodeCatalog(value));
    }
}

BENCHMARK(readPage)->Arg(1)->Arg(4)->Unit(benchmark::kMillisecond);
BENCHMARK(decode)->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
