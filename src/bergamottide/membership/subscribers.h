#pragma once

#include "bergamottide/config/store.h"
#include "bergamottide/core/fwd.h"
#include "bergamottide/protocol/messages.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>

namespace bergamottide {

/*! @brief Parameters of the delivery to subscribers. */
struct SubscriberPolicy
{
    /*!
     * @brief Minimum time between two deltas to one subscriber.
     *
     * Changes in between are coalesced into one delta.
     */
    Duration minDeltaInterval{std::chrono::milliseconds{500}};
    /*! @brief Silence after which a subscriber gets an empty delta as a heartbeat. */
    Duration heartbeatInterval{std::chrono::seconds{1}};
    /*! @brief Time after which a subscription expires unless it is renewed. */
    Duration lease{std::chrono::seconds{30}};
    /*!
     * @brief Minimum time between two whole documents to one subscriber.
     *
     * Whole documents are far larger than deltas; a subscriber that fails to apply one must not cause a send loop.
     */
    Duration minWholeDocumentInterval{std::chrono::seconds{2}};
    /*! @brief Maximum number of subscribers; it exceeds the arity of the tree to take over from failed parents. */
    std::size_t maxSubscribers{256};
};

/*! @brief Processes subscribed to the documents of this one, with the version that each of them has. */
class Subscribers
{
public:
    /*! @brief Sends a delta to a subscriber. */
    using Send = std::function<void(const InstanceName &to, ConfigDelta delta)>;

    /**
     * @brief Starts without subscribers.
     * @param policy Parameters of the delivery.
     */
    explicit Subscribers(SubscriberPolicy policy);

    /**
     * @brief Adds or renews a subscriber; `sendDue` sends the response. A new one beyond the limit is ignored.
     * @param name Subscriber.
     * @param subscribe Version and digest that it has.
     * @param now Current time.
     */
    void add(const InstanceName &name, const ConfigSubscribe &subscribe, TimePoint now);

    /*! @brief Removes a subscriber. */
    void remove(const InstanceName &name);

    /**
     * @brief Removes expired subscribers and sends the deltas that are due.
     * @param store Store with the active document.
     * @param sourceAge Time since that document was confirmed.
     * @param now Current time.
     * @param send Called for each delta.
     */
    void sendDue(const ConfigStore &store, Duration sourceAge, TimePoint now, const Send &send);

    /**
     * @brief Returns the time at which `sendDue` has to be called next, if there are subscribers.
     * @param store Store with the active document.
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
        /*! @brief Version that it has unless a message was lost; the next heartbeat reveals a loss. */
        std::uint64_t version{};
        std::uint64_t digest{};
        TimePoint leaseEnd{};
        TimePoint lastSent{};
        /*! @brief Earliest time of the next whole document. */
        TimePoint nextWholeDocumentAt{};
        /*! @brief Its last subscription message was not answered yet. */
        bool awaitsAnswer{};
    };

    [[nodiscard]] TimePoint dueAt(const Subscriber &subscriber, const ConfigStore &store) const;
    [[nodiscard]] static bool isBehind(const Subscriber &subscriber, const ConfigStore &store);
    [[nodiscard]] ConfigDelta deltaFor(Subscriber &subscriber, const ConfigStore &store, TimePoint now) const;

    SubscriberPolicy m_policy;
    std::map<InstanceName, Subscriber> m_subscribers;
};

} // namespace bergamottide
