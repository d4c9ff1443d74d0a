#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/serving/endpointboard.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace bergamottide::serving {

/**
 * @brief Accounts for the memory that results take up at the endpoints of stage pools.
 *
 * Room is taken from the sending of a call until its result is given up or has lapsed. A result that may exist although
 * its call was lost counts until it would have lapsed.
 */
class ResultRoom
{
public:
    /**
     * @brief Creates an account without results.
     * @param endpoints Endpoints, which hold the sums; outlive the account.
     */
    explicit ResultRoom(EndpointBoard &endpoints);

    /*! @brief Gives back room that was taken for a result that was not made. */
    void giveBack(const InstanceName &endpoint, std::uint64_t bytes);

    /**
     * @brief Notes a result that was made in room taken before.
     * @param handle Result.
     * @param endpoint Endpoint that keeps it.
     * @param bytes Its size.
     * @param lapse Time at which the endpoint has dropped it.
     */
    void keep(const std::string &handle, const InstanceName &endpoint, std::uint64_t bytes, TimePoint lapse);

    /*! @brief Notes that a result may have been made by a call whose answer never came. */
    void keepLost(const InstanceName &endpoint, std::uint64_t bytes, TimePoint lapse);

    /*! @brief Notes that a result was given up; one that is not known is ignored. */
    void release(const std::string &handle);

    /*! @brief Forgets results that have lapsed. */
    void expire(TimePoint now);

private:
    struct Result
    {
        InstanceName endpoint;
        std::uint64_t bytes{};
        TimePoint lapse{};
    };

    EndpointBoard &m_endpoints;
    std::map<std::string, Result> m_results;
    std::set<std::pair<TimePoint, std::string>> m_lapses;
    std::uint64_t m_nextLost{1};
};

} // namespace bergamottide::serving
