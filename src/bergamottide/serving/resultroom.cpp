#include "bergamottide/serving/resultroom.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace bergamottide::serving {

ResultRoom::ResultRoom(EndpointBoard &endpoints)
    : m_endpoints{endpoints}
{
}

void ResultRoom::giveBack(const InstanceName &endpoint, std::uint64_t bytes)
{
    if (Endpoint *found = m_endpoints.find(endpoint); found != nullptr) {
        found->resultBytes -= std::min(found->resultBytes, bytes);
    }
}

void ResultRoom::keep(const std::string &handle, const InstanceName &endpoint, std::uint64_t bytes, TimePoint lapse)
{
    m_results[handle] = {endpoint, bytes, lapse};
    m_lapses.emplace(lapse, handle);
}

void ResultRoom::keepLost(const InstanceName &endpoint, std::uint64_t bytes, TimePoint lapse)
{
    keep(absl::StrCat("lost/", m_nextLost++), endpoint, bytes, lapse);
}

void ResultRoom::release(const std::string &handle)
{
    const auto found = m_results.find(handle);
    if (found == m_results.end()) {
        return;
    }
    giveBack(found->second.endpoint, found->second.bytes);
    m_lapses.erase({found->second.lapse, handle});
    m_results.erase(found);
}

void ResultRoom::expire(TimePoint now)
{
    while (!m_lapses.empty() && m_lapses.begin()->first <= now) {
        const std::string handle = m_lapses.begin()->second;
        release(handle);
    }
}

} // namespace bergamottide::serving
