#include "bergamottide/stages/resultmemory.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace bergamottide::serving {

namespace {

/*! @brief Steps in which memory of unknown results becomes free. */
constexpr std::uint64_t unknownExpirySteps = 8;
/*! @brief Time for which a report on results of other schedulers is valid, unless it is renewed. */
constexpr Duration heldReportTtl = std::chrono::milliseconds{1500};

} // namespace

ResultMemory::ResultMemory(EndpointRegistry &endpoints)
    : m_endpoints{endpoints}
{
}

void ResultMemory::releaseReservation(const MemoryReservation &reservation)
{
    Endpoint *found = m_endpoints.find(reservation.endpoint);
    if (found != nullptr && found->record.incarnation == reservation.incarnation) {
        found->resultBytes -= std::min(found->resultBytes, reservation.bytes);
    }
}

void ResultMemory::add(const std::string &handle, const MemoryReservation &reservation, TimePoint expiry)
{
    m_results[handle] = {reservation, expiry};
    m_expiries.emplace(expiry, handle);
}

void ResultMemory::addLost(const MemoryReservation &reservation, TimePoint expiry)
{
    add(absl::StrCat("lost/", m_nextLostNumber++), reservation, expiry);
}

void ResultMemory::addUnknown(const MemoryReservation &unknown, TimePoint now, TimePoint expiry)
{
    Endpoint *found = m_endpoints.find(unknown.endpoint);
    if (found == nullptr || found->record.incarnation != unknown.incarnation) {
        return;
    }
    for (std::uint64_t step = 1; step <= unknownExpirySteps; ++step) {
        MemoryReservation part = unknown;
        part.bytes = unknown.bytes / unknownExpirySteps;
        found->resultBytes += part.bytes;
        addLost(part, now + (expiry - now) * static_cast<std::int64_t>(step) / unknownExpirySteps);
    }
}

void ResultMemory::remove(const std::string &handle)
{
    const auto found = m_results.find(handle);
    if (found == m_results.end()) {
        return;
    }
    releaseReservation(found->second.reservation);
    m_expiries.erase({found->second.expiry, handle});
    m_results.erase(found);
}

void ResultMemory::removeExpired(TimePoint now)
{
    while (!m_expiries.empty() && m_expiries.begin()->first <= now) {
        const std::string handle = m_expiries.begin()->second;
        remove(handle);
    }
    for (auto next = m_reportedUsage.begin(); next != m_reportedUsage.end();) {
        if (now - next->second.receivedAt < heldReportTtl) {
            ++next;
            continue;
        }
        adjustHeldBytes(next->second.results, false);
        next = m_reportedUsage.erase(next);
    }
}

void ResultMemory::setReportedUsage(const StageTask &task, TimePoint now)
{
    const std::pair key{task.requester, task.pool};
    const auto previous = m_reportedUsage.find(key);
    if (previous != m_reportedUsage.end()) {
        adjustHeldBytes(previous->second.results, false);
        m_reportedUsage.erase(previous);
    }
    if (!task.heldResults.empty()) {
        adjustHeldBytes(task.heldResults, true);
        m_reportedUsage.emplace(key, HeldReport{task.heldResults, now});
    }
}

void ResultMemory::adjustHeldBytes(const std::vector<ResultMemoryUsage> &results, bool isAdded)
{
    for (const ResultMemoryUsage &held : results) {
        Endpoint *endpoint = m_endpoints.find(held.endpoint);
        if (endpoint == nullptr) {
            continue;
        }
        endpoint->otherSchedulersBytes = isAdded
            ? endpoint->otherSchedulersBytes + held.bytes
            : endpoint->otherSchedulersBytes - std::min(endpoint->otherSchedulersBytes, held.bytes);
    }
}

} // namespace bergamottide::serving
