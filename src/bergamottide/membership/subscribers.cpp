#include "bergamottide/membership/subscribers.h"

#include <algorithm>
#include <utility>

namespace bergamottide {

Subscribers::Subscribers(SubscriberPolicy policy)
    : m_policy{policy}
{
}

void Subscribers::add(const InstanceName &name, const ConfigSubscribe &subscribe, TimePoint now)
{
    if (m_subscribers.size() >= m_policy.maxSubscribers && !m_subscribers.contains(name)) {
        return;
    }
    Subscriber &subscriber = m_subscribers[name];
    subscriber.version = subscribe.version;
    subscriber.digest = subscribe.digest;
    subscriber.leaseEnd = now + m_policy.lease;
    subscriber.awaitsAnswer = true;
}

void Subscribers::remove(const InstanceName &name)
{
    m_subscribers.erase(name);
}

void Subscribers::sendDue(const ConfigStore &store, Duration sourceAge, TimePoint now, const Send &send)
{
    std::erase_if(m_subscribers, [now](const auto &entry) { return entry.second.leaseEnd <= now; });
    for (auto &[name, subscriber] : m_subscribers) {
        if (dueAt(subscriber, store) > now) {
            continue;
        }
        ConfigDelta delta = deltaFor(subscriber, store, now);
        delta.sourceAge = sourceAge;
        subscriber.lastSent = now;
        subscriber.awaitsAnswer = false;
        send(name, std::move(delta));
    }
}

std::optional<TimePoint> Subscribers::nextDue(const ConfigStore &store) const
{
    std::optional<TimePoint> next;
    for (const auto &[name, subscriber] : m_subscribers) {
        const TimePoint due = std::min(dueAt(subscriber, store), subscriber.leaseEnd);
        next = next ? std::min(*next, due) : due;
    }
    return next;
}

TimePoint Subscribers::dueAt(const Subscriber &subscriber, const ConfigStore &store) const
{
    const bool isUrgent = subscriber.awaitsAnswer || isBehind(subscriber, store);
    return subscriber.lastSent + (isUrgent ? m_policy.minDeltaInterval : m_policy.heartbeatInterval);
}

bool Subscribers::isBehind(const Subscriber &subscriber, const ConfigStore &store)
{
    return subscriber.version < store.version();
}

ConfigDelta Subscribers::deltaFor(Subscriber &subscriber, const ConfigStore &store, TimePoint now) const
{
    if (!isBehind(subscriber, store)) {
        // An empty delta states the active version, even to a subscriber that has a newer or conflicting one.
        return ConfigDelta{store.version(), store.digest(), store.version(), store.digest(), {}, {}};
    }
    ConfigDelta delta = store.deltaSince(subscriber.version, subscriber.digest);
    if (delta.base == 0 && subscriber.nextWholeDocumentAt > now) {
        return ConfigDelta{0, 0, 0, 0, {}, {}};
    }
    if (delta.base == 0) {
        subscriber.nextWholeDocumentAt = now + m_policy.minWholeDocumentInterval;
    }
    subscriber.version = delta.version;
    subscriber.digest = delta.digest;
    return delta;
}

} // namespace bergamottide
