#pragma once

#include "bergamottide/config/store.h"
#include "bergamottide/core/fwd.h"
#include "bergamottide/protocol/messages.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>

namespace bergamottide {

/*! @brief How a process serves those that subscribe to its documents. */
struct SubscriberPolicy
{
    /*!
     * @brief Least time between two deltas to one subscriber.
     *
     * Changes that come meanwhile travel together; at bursts of 20 changes a second this
     * halves the bytes, as a section changed twice travels once.
     */
    Duration pace{std::chrono::milliseconds{500}};
    /*! @brief Silence after which a subscriber gets an empty delta, so that it can tell a quiet parent from a dead one.
     */
    Duration heartbeat{std::chrono::seconds{1}};
    /*! @brief Time after which a subscriber that does not renew is forgotten. */
    Duration lease{std::chrono::seconds{30}};
    /*!
     * @brief Least time between two whole documents to one subscriber.
     *
     * A whole document is a thousand times a delta; a subscriber that cannot apply what it
     * gets must not make its parent send it in a loop.
     */
    Duration wholePause{std::chrono::seconds{2}};
    /*! @brief Subscribers at most; with the tree's arity it is reached only when many parents have died. */
    std::size_t limit{256};
};

/*! @brief The processes that get documents from this one, and what each of them has. */
class Subscribers
{
public:
    /*! @brief Sends a message to a process. */
    using Send = std::function<void(const InstanceName &to, ConfigDelta delta)>;

    /**
     * @brief Starts without subscribers.
     * @param policy How they are served.
     */
    explicit Subscribers(SubscriberPolicy policy);

    /**
     * @brief Adds or renews a subscriber; it is answered at the next `serve`.
     * @param name Subscriber.
     * @param subscribe What it has.
     * @param now Present time.
     */
    void add(const InstanceName &name, const ConfigSubscribe &subscribe, TimePoint now);

    /*! @brief Forgets a subscriber. */
    void remove(const InstanceName &name);

    /**
     * @brief Sends what is due.
     * @param store Document in force.
     * @param sourceAge Time since that document was confirmed.
     * @param now Present time.
     * @param send Takes each delta.
     */
    void serve(const ConfigStore &store, Duration sourceAge, TimePoint now, const Send &send);

    /**
     * @brief Returns the time at which `serve` has something to do, if any.
     * @param store Document in force.
     */
    [[nodiscard]] std::optional<TimePoint> nextDue(const ConfigStore &store) const;

    /*! @brief Returns the number of subscribers. */
    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_subscribers.size();
    }

private:
    struct Subscriber
    {
        /*! @brief Document that it has if nothing was lost on the way; a loss shows at the next heartbeat. */
        std::uint64_t version{};
        std::uint64_t digest{};
        TimePoint leaseEnd{};
        TimePoint lastSent{};
        TimePoint wholeAllowed{};
        /*! @brief It has asked and was not answered yet. */
        bool asked{};
    };

    [[nodiscard]] TimePoint dueOf(const Subscriber &subscriber, const ConfigStore &store) const;
    [[nodiscard]] static bool lags(const Subscriber &subscriber, const ConfigStore &store);
    [[nodiscard]] ConfigDelta deltaFor(Subscriber &subscriber, const ConfigStore &store, TimePoint now) const;

    SubscriberPolicy m_policy;
    std::map<InstanceName, Subscriber> m_subscribers;
};

} // namespace bergamottide
