#pragma once

#include "bergamottide/core/fwd.h"
#include "bergamottide/membership/instanceview.h"

#include <map>
#include <optional>

namespace bergamottide {

/**
 * @brief Chooses the home of a request whose identity was derived from an idempotency key.
 *
 * Rendezvous hash: every process with the same view chooses the same instance, and a
 * change of one instance moves only the keys of that one.
 *
 * @param request Identity derived from workspace and key.
 * @param view Instance list.
 * @param pool Pool of the last stage.
 * @return The instance, or an empty name if the pool has none that stays.
 */
[[nodiscard]] InstanceName keyHome(const RequestId &request, const InstanceView &view, const PoolName &pool);

/*! @brief What a side may do with a request of an idempotency key. */
struct KeyVerdict
{
    /*! @brief `None`; `StaleView` if another instance is the home; `Warming` if another may have been of late. */
    Reason reason{};
    /*! @brief Time after which the key is free, with `Warming`. */
    Duration retryAfter{};
};

/**
 * @brief Tells whether this side alone may have run the requests of a key of late.
 *
 * Harm prevented: the same key run twice, once by the present and once by the former
 * home. A side that has just started cannot know what the process before it ran, and a
 * side that gains keys with a change of the view cannot know what their former home ran.
 * Both refuse such keys for one window, after which no promise about a former submission
 * is left: a key resubmitted within the window of its first submission runs at most once
 * as long as the views of entries and sides agree within it.
 */
class KeyOwnership
{
public:
    /**
     * @brief Takes over an instance list.
     * @param view Instance list.
     * @param pool Pool of this side.
     * @param now Present time.
     * @param window Time for which a former home counts.
     */
    void update(const InstanceView &view, const PoolName &pool, TimePoint now, Duration window);

    /**
     * @brief Judges a request.
     * @param request Identity derived from workspace and key.
     * @param self Name of this side.
     * @param now Present time.
     * @param window Time for which a former home counts.
     * @return Verdict.
     */
    [[nodiscard]] KeyVerdict judge(const RequestId &request, const InstanceName &self, TimePoint now,
                                   Duration window) const;

private:
    struct Member
    {
        /*! @brief Time at which it came into the view, or came back; what was before is unknown. */
        TimePoint joined;
        /*! @brief Absent while the member is in the view. */
        std::optional<TimePoint> left;
    };

    std::map<InstanceName, Member> m_members;
};

} // namespace bergamottide
