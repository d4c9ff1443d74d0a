#include "bergamottide/serving/engineplacement.h"

#include <xxhash.h>

#include <algorithm>
#include <string>

namespace bergamottide::serving {

namespace {

/*! @brief An engine takes a session as long as its load is at most this many times the mean, plus the allowance. */
constexpr double loadFactor = 1.5;
/*! @brief Requests above the mean that never count as overload: less than a step of the engine's time each. */
constexpr double loadAllowance = 4.0;

bool contains(const std::vector<InstanceName> &list, const InstanceName &instance)
{
    return std::find(list.begin(), list.end(), instance) != list.end();
}

/*! @brief Work at an endpoint: what it told, or what this process has there if that is more. */
double loadOf(const Endpoint &endpoint)
{
    return std::max<double>(endpoint.inFlight, endpoint.load.running + endpoint.load.waiting);
}

std::uint64_t score(std::string_view key, const Endpoint &endpoint)
{
    const std::string &instance = endpoint.record.instance.text();
    return XXH3_64bits_withSeed(instance.data(), instance.size(), XXH3_64bits(key.data(), key.size()));
}

} // namespace

Endpoint *pickLeastLoaded(const std::vector<Endpoint *> &usable, const std::vector<InstanceName> &excluded,
                          std::string_view attempt)
{
    Endpoint *best = nullptr;
    std::pair<double, std::uint64_t> bestKey;
    for (Endpoint *endpoint : usable) {
        if (contains(excluded, endpoint->record.instance)) {
            continue;
        }
        const double slots = std::max<double>(1.0, endpoint->record.slots);
        const std::pair key{(endpoint->inFlight + loadOf(*endpoint)) / slots, score(attempt, *endpoint)};
        if (best == nullptr || key < bestKey) {
            best = endpoint;
            bestKey = key;
        }
    }
    return best;
}

Endpoint *pickEngine(const std::vector<Endpoint *> &usable, const std::vector<InstanceName> &excluded,
                     std::string_view key)
{
    double sum = 0.0;
    std::vector<std::pair<std::uint64_t, Endpoint *>> ranked;
    for (Endpoint *endpoint : usable) {
        sum += loadOf(*endpoint);
        if (!contains(excluded, endpoint->record.instance)) {
            ranked.emplace_back(score(key, *endpoint), endpoint);
        }
    }
    if (ranked.empty()) {
        return nullptr;
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const auto &left, const auto &right) { return left.first > right.first; });
    const double bound = loadFactor * sum / static_cast<double>(usable.size()) + loadAllowance;
    for (const auto &[rank, endpoint] : ranked) {
        if (loadOf(*endpoint) <= bound) {
            return endpoint;
        }
    }
    return ranked.front().second;
}

} // namespace bergamottide::serving
