#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/serving/endpointboard.h"
#include "bergamottide/serving/stagetask.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bergamottide::serving {

/*! @brief Room for one result at one endpoint. */
struct RoomShare
{
    InstanceName endpoint;
    /*! @brief Start of the endpoint in which the room was taken; the next one has all its room again. */
    std::uint64_t incarnation{};
    std::uint64_t bytes{};
};

/**
 * @brief Accounts for the memory that results take up at the endpoints of stage pools.
 *
 * Room is taken from the sending of a call until its result is given up or has lapsed. A result that may exist although
 * its call was lost counts until it would have lapsed. Results that another scheduler has had made, before it stopped
 * or its queue was taken over, are known only to the processes that hold them: these tell of them with their next
 * tasks.
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
    void giveBack(const RoomShare &share);

    /**
     * @brief Notes a result that was made in room taken before.
     * @param handle Result.
     * @param share Room that it takes.
     * @param lapse Time at which the endpoint has dropped it.
     */
    void keep(const std::string &handle, const RoomShare &share, TimePoint lapse);

    /*! @brief Notes that a result may have been made by a call whose answer never came. */
    void keepLost(const RoomShare &share, TimePoint lapse);

    /*! @brief Notes that a result was given up; one that is not known is ignored. */
    void release(const std::string &handle);

    /*! @brief Forgets results that have lapsed. */
    void expire(TimePoint now);

    /**
     * @brief Takes what a process tells of results that were made elsewhere; replaces what it told before of the pool.
     * @param task Task of the process.
     * @param now Present time.
     */
    void noteHeld(const StageTask &task, TimePoint now);

private:
    struct Result
    {
        RoomShare share;
        TimePoint lapse{};
    };

    /*! @brief What one process told of results of one pool. */
    struct Held
    {
        std::vector<HeldResults> results;
        TimePoint at{};
    };

    void count(const std::vector<HeldResults> &results, bool add);

    EndpointBoard &m_endpoints;
    std::map<std::pair<InstanceName, PoolName>, Held> m_held;
    std::map<std::string, Result> m_results;
    std::set<std::pair<TimePoint, std::string>> m_lapses;
    std::uint64_t m_nextLost{1};
};

} // namespace bergamottide::serving
