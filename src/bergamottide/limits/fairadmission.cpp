#include "bergamottide/limits/fairadmission.h"

#include <algorithm>
#include <cstddef>

namespace bergamottide::serving {

namespace {

/*! @brief Time for which admissions count; about the window of a low limit. */
constexpr Duration admissionMemory = std::chrono::seconds{5};
/*! @brief Time for which a request is reserved for a rejected workspace; its caller comes back earlier or not at all.
 */
constexpr Duration reservationTime = std::chrono::seconds{1};
/*! @brief Maximum number of admissions that count. */
constexpr std::size_t maxAdmissions = 1000;

} // namespace

bool FairAdmission::admit(const WorkspaceName &workspace, std::uint32_t freeRequests, TimePoint now)
{
    while (!m_admissions.empty()
           && (now - m_admissions.front().at >= admissionMemory || m_admissions.size() >= maxAdmissions)) {
        m_admissions.pop_front();
    }
    std::erase_if(m_rejectedAt, [now](const auto &entry) { return now - entry.second >= reservationTime; });
    std::map<WorkspaceName, std::size_t> admitted;
    for (const Admission &admission : m_admissions) {
        ++admitted[admission.workspace];
    }
    const std::size_t own = admitted[workspace];
    const auto reserved = std::ranges::count_if(m_rejectedAt, [&admitted, &workspace, own](const auto &entry) {
        return entry.first != workspace && admitted[entry.first] < own;
    });
    if (freeRequests <= static_cast<std::uint32_t>(reserved)) {
        m_rejectedAt[workspace] = now;
        return false;
    }
    m_rejectedAt.erase(workspace);
    m_admissions.push_back({now, workspace});
    return true;
}

} // namespace bergamottide::serving
