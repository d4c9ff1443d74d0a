#pragma once

#include "bergamottide/core/fwd.h"
#include "bergamottide/membership/instanceview.h"

#include <map>
#include <optional>

namespace bergamottide {

/**
 * @brief Returns the home of a request whose identity was derived from an idempotency key.
 *
 * Uses rendezvous hashing: all processes with the same view choose the same instance, and
 * a change of one instance moves only the keys of that instance.
 *
 * @param request Identity derived from workspace and key.
 * @param view Instance list.
 * @param pool Pool of the last stage.
 * @return Name of the instance; empty if all instances of the pool are leaving or there are none.
 */
[[nodiscard]] InstanceName homeForKey(const RequestId &request, const InstanceView &view, const PoolName &pool);

/*! @brief Whether a sidecar may accept a request with an idempotency key. */
struct KeyDecision
{
    /*! @brief `None` if it may; `StaleView` if another instance is the home; `Warming` if one was recently. */
    Reason reason{};
    /*! @brief With `Warming`: time after which the request is accepted. */
    Duration retryAfter{};
};

/**
 * @brief Decides whether a sidecar owns an idempotency key, so that a key is not run by two homes.
 *
 * A sidecar that has just started, or that gains keys when the instance list changes, does
 * not know what the former home has run. It refuses these keys for one window, the time
 * for which a home remembers a key. A key that is resubmitted within the window runs at
 * most once, provided that the views of all processes agree within the window.
 */
class KeyOwnership
{
public:
    /**
     * @brief Applies a new instance list.
     * @param view Instance list.
     * @param pool Pool of this sidecar.
     * @param now Current time.
     * @param window Time for which a former home still blocks a key.
     */
    void update(const InstanceView &view, const PoolName &pool, TimePoint now, Duration window);

    /**
     * @brief Decides whether this sidecar may accept a request.
     * @param request Identity derived from workspace and key.
     * @param self Name of this sidecar.
     * @param now Current time.
     * @param window Time for which a former home still blocks a key.
     */
    [[nodiscard]] KeyDecision decide(const RequestId &request, const InstanceName &self, TimePoint now,
                                     Duration window) const;

private:
    struct Member
    {
        /*! @brief Time at which the instance was last added to the view. */
        TimePoint joinedAt;
        /*! @brief Time at which it was removed from the view or began to leave; absent while it is a candidate. */
        std::optional<TimePoint> leftAt;
    };

    std::map<InstanceName, Member> m_members;
};

} // namespace bergamottide
