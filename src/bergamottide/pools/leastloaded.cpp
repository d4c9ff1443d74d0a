#include "bergamottide/pools/leastloaded.h"

#include "bergamottide/load/pickoftwo.h"

#include <xxhash.h>

#include <algorithm>
#include <string>

namespace bergamottide::serving {

namespace {

bool contains(const std::vector<InstanceName> &list, const InstanceName &instance)
{
    return std::find(list.begin(), list.end(), instance) != list.end();
}

std::uint64_t score(std::string_view key, const Endpoint &endpoint)
{
    const std::string &instance = endpoint.record.instance.text();
    return XXH3_64bits_withSeed(instance.data(), instance.size(), XXH3_64bits(key.data(), key.size()));
}

} // namespace

std::uint32_t currentLoad(const Endpoint &endpoint)
{
    return std::max(endpoint.inFlight, endpoint.load.running + endpoint.load.waiting);
}

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
        const std::pair key{(endpoint->inFlight + currentLoad(*endpoint)) / slots, score(attempt, *endpoint)};
        if (best == nullptr || key < bestKey) {
            best = endpoint;
            bestKey = key;
        }
    }
    return best;
}

Endpoint *pickLessLoadedOfTwo(const std::vector<Endpoint *> &usable, const std::vector<InstanceName> &excluded,
                              std::string_view attempt, const load::LoadTable &loads, TimePoint now)
{
    std::vector<Endpoint *> endpoints;
    std::vector<load::LoadCandidate> candidates;
    for (Endpoint *endpoint : usable) {
        const EndpointRecord &record = endpoint->record;
        if (contains(excluded, record.instance)) {
            continue;
        }
        endpoints.push_back(endpoint);
        candidates.push_back({record.instance, endpoint->inFlight,
                              loads.expectedOthers(record.pool, record.instance, now), record.slots,
                              loads.expectedPace(record.pool, record.instance, now)});
    }
    const auto chosen = load::pickOfTwo(candidates, attempt);
    return chosen ? endpoints[*chosen] : nullptr;
}

} // namespace bergamottide::serving
