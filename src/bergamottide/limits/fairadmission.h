#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"

#include <cstdint>
#include <deque>
#include <map>

namespace bergamottide::serving {

/**
 * @brief Shares the scarce requests of a pool among workspaces.
 *
 * A workspace is rejected while the free requests are needed for workspaces that have got fewer and whose latest
 * request was rejected. Thus the burst of one workspace cannot take all that the pool accepts.
 */
class FairAdmission
{
public:
    /**
     * @brief Decides whether to admit a request, and records the decision.
     * @param workspace Workspace of the request.
     * @param freeRequests Requests that the pool accepts now.
     * @param now Current time.
     */
    [[nodiscard]] bool admit(const WorkspaceName &workspace, std::uint32_t freeRequests, TimePoint now);

private:
    struct Admission
    {
        TimePoint at{};
        WorkspaceName workspace;
    };

    /*! @brief Admissions of the last seconds, oldest first. */
    std::deque<Admission> m_admissions;
    /*! @brief Workspaces whose latest request was rejected, and when. */
    std::map<WorkspaceName, TimePoint> m_rejectedAt;
};

} // namespace bergamottide::serving
