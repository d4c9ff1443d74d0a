#include "bergamottide/serving/resultroom.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace bergamottide::serving {

namespace {

/*! @brief Time for which it counts what a process told of results made elsewhere: such results are used, given up or
 * told of again by then. */
constexpr Duration heldMemory = std::chrono::milliseconds{1500};

} // namespace

ResultRoom::ResultRoom(EndpointBoard &endpoints)
    : m_endpoints{endpoints}
{
}

void ResultRoom::giveBack(const RoomShare &share)
{
    Endpoint *found = m_endpoints.find(share.endpoint);
    if (found != nullptr && found->record.incarnation == share.incarnation) {
        found->resultBytes -= std::min(found->resultBytes, share.bytes);
    }
}

void ResultRoom::keep(const std::string &handle, const RoomShare &share, TimePoint lapse)
{
    m_results[handle] = {share, lapse};
    m_lapses.emplace(lapse, handle);
}

void ResultRoom::keepLost(const RoomShare &share, TimePoint lapse)
{
    keep(absl::StrCat("lost/", m_nextLost++), share, lapse);
}

void ResultRoom::release(const std::string &handle)
{
    const auto found = m_results.find(handle);
    if (found == m_results.end()) {
        return;
    }
    giveBack(found->second.share);
    m_lapses.erase({found->second.lapse, handle});
    m_results.erase(found);
}

void ResultRoom::expire(TimePoint now)
{
    while (!m_lapses.empty() && m_lapses.begin()->first <= now) {
        const std::string handle = m_lapses.begin()->second;
        release(handle);
    }
    for (auto next = m_held.begin(); next != m_held.end();) {
        if (now - next->second.at < heldMemory) {
            ++next;
            continue;
        }
        count(next->second.results, false);
        next = m_held.erase(next);
    }
}

void ResultRoom::noteHeld(const StageTask &task, TimePoint now)
{
    const std::pair key{task.from, task.pool};
    const auto known = m_held.find(key);
    if (known != m_held.end()) {
        count(known->second.results, false);
        m_held.erase(known);
    }
    if (!task.held.empty()) {
        count(task.held, true);
        m_held.emplace(key, Held{task.held, now});
    }
}

void ResultRoom::count(const std::vector<HeldResults> &results, bool add)
{
    for (const HeldResults &held : results) {
        Endpoint *endpoint = m_endpoints.find(held.endpoint);
        if (endpoint == nullptr) {
            continue;
        }
        endpoint->otherSchedulersBytes = add
            ? endpoint->otherSchedulersBytes + held.bytes
            : endpoint->otherSchedulersBytes - std::min(endpoint->otherSchedulersBytes, held.bytes);
    }
}

} // namespace bergamottide::serving
