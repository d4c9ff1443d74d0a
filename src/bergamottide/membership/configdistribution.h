#pragma once

#include "bergamottide/config/store.h"
#include "bergamottide/entry/entryevents.h"
#include "bergamottide/membership/instanceview.h"
#include "bergamottide/membership/subscribers.h"
#include "bergamottide/membership/zoneorder.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bergamottide {

/*! @brief Event: the configuration service has answered with the text of a document. */
struct ServiceDocument
{
    std::string text;
};

/*! @brief Event: the configuration service has confirmed that there is nothing newer than the version in force. */
struct ServiceUnchanged
{
};

/*! @brief Event: a read of the configuration service has failed. */
struct ServiceFailed
{
};

/*! @brief Any event of the distribution; messages about anything but the configuration are ignored. */
using ConfigEvent =
    std::variant<PeerMessage, PeerDown, ViewChanged, ServiceDocument, ServiceUnchanged, ServiceFailed, Tick>;

/*! @brief Effect: read the configuration service once; it answers at once, and shortly if there is nothing newer. */
struct ReadService
{
    /*! @brief Version in force; only a newer document is wanted. */
    std::uint64_t after{};
};

/*! @brief Any effect of the distribution. */
using ConfigEffect = std::variant<SendMessage, ReadService, ConfigChanged, LogLine, AuditRecord, Observe>;

/*! @brief Effects of one event, in the order in which they are carried out. */
using ConfigEffects = std::vector<ConfigEffect>;

/*! @brief Who the process is. */
struct ConfigIdentity
{
    InstanceName instance;
    RegionName region;
    ZoneName zone;
    /*! @brief Seed of the jitter. */
    std::uint64_t seed{};
};

/*! @brief Times and sizes of the distribution. */
struct DistributionPolicy
{
    /*!
     * @brief Processes of a zone that read the service, the first ones of its order.
     *
     * The service gives whole documents only, some 100 KB with 520 workspaces. Were it one or two
     * processes that read each of 16,000 changes a day, each would spend 20 KB a second on
     * that; among 128 it is one.
     */
    std::size_t readers{128};
    /*!
     * @brief Mean time between two reads in one zone.
     *
     * Half a second keeps a change unread for 5 s with a chance of one in twenty thousand, and
     * costs 62 reads a second in 31 zones.
     */
    Duration zoneReads{std::chrono::milliseconds{500}};
    /*! @brief Least mean time between two reads of one process, for zones of a few processes. */
    Duration leastRead{std::chrono::seconds{1}};
    /*! @brief Time after which a read without an answer is given up. */
    Duration readTimeout{std::chrono::seconds{5}};
    /*!
     * @brief Children of one process in the tree.
     *
     * It bounds what a process sends: at 20 changes a second of some 150 bytes each child
     * costs 3 KB a second, so that two children and the own parent stay below 10 KB.
     */
    std::size_t arity{2};
    SubscriberPolicy subscribers;
    /*! @brief Silence of a parent after which the next one is tried; three heartbeats and a half. */
    Duration parentSilence{std::chrono::milliseconds{3500}};
    /*! @brief Period of renewing a subscription, a third of its lease. */
    Duration renewal{std::chrono::seconds{10}};
    /*! @brief Least time between two subscriptions to one parent. */
    Duration resubscribe{std::chrono::milliseconds{500}};
    /*! @brief Time after the start during which peers are asked before the service, which may be stale, is trusted. */
    Duration startWait{std::chrono::seconds{1}};
    /*!
     * @brief Mean time between the reads of a process that hears from no parent.
     *
     * Should all 4,350 processes be cut off from each other, they make 145 reads a second of the
     * 2,000 that the service allows.
     */
    Duration cutOffRead{std::chrono::seconds{30}};
};

/*! @brief What an operator sees of the distribution at one process. */
struct ConfigStatus
{
    std::uint64_t version{};
    std::uint64_t digest{};
    /*! @brief No peer has confirmed since the start that the document is not an old one. */
    bool unconfirmed{true};
    /*! @brief Parent listened to; empty if there is none to listen to. */
    InstanceName parent;
    std::size_t subscribers{};
    /*! @brief Reads of the configuration service since the start. */
    std::uint64_t reads{};
    /*! @brief Why a document was last refused; empty if none was. */
    std::vector<ConfigIssue> refusal;
};

/**
 * @brief How documents reach every process, and which one is in force here.
 *
 * Made for 350 entries and 4,000 sides that must follow 16,000 changes a day although the
 * service allows 2,000 reads a second for all and a process 10 KB a second. In each
 * availability zone the first processes of its order read the service in turn, at random
 * times, each rarely; the processes of the zone form a tree along which deltas travel, upwards
 * from whoever has read something newer and downwards to all. The first process of a zone
 * listens to the first one of another zone, so that a zone without the service follows, too.
 * No process owns the tree: each finds its place from the instance list, replaces a silent
 * parent by the next one, and reads for itself, rarely, when no parent answers. Whatever comes
 * from wherever passes through ConfigStore, so nothing in force reverts.
 */
class ConfigDistribution
{
public:
    /**
     * @brief Starts with no document in force.
     * @param identity Who the process is.
     * @param policy Times and sizes.
     * @param now Time of the start.
     */
    ConfigDistribution(ConfigIdentity identity, DistributionPolicy policy, TimePoint now);

    /**
     * @brief Applies one event.
     * @param event What has happened.
     * @param now Time at which it is handled, never before that of an earlier call.
     * @return What is to be done, in order.
     */
    [[nodiscard]] ConfigEffects apply(const ConfigEvent &event, TimePoint now);

    /*! @brief Returns the time at which a `Tick` is due. */
    [[nodiscard]] TimePoint nextWakeup() const;

    /*! @brief Returns the document in force; null if there is none. */
    [[nodiscard]] const SnapshotPointer &current() const noexcept
    {
        return m_store.current();
    }

    /**
     * @brief Returns the time since the document in force was last known to be the one published.
     * @param now Present time.
     */
    [[nodiscard]] Duration age(TimePoint now) const;

    /*! @brief Returns what an operator sees. */
    [[nodiscard]] ConfigStatus status() const;

private:
    void handle(const PeerMessage &event);
    void handle(const PeerDown &event);
    void handle(const ViewChanged &event);
    void handle(const ServiceDocument &event);
    void handle(const ServiceUnchanged &event);
    void handle(const ServiceFailed &event);
    void handle(const Tick &event);

    void receive(const InstanceName &from, const ConfigSubscribe &subscribe);
    void receive(const InstanceName &from, const ConfigDelta &delta);
    void receive(const InstanceName &from, const Hello &hello);

    [[nodiscard]] bool isReader() const;
    [[nodiscard]] bool mayRead() const;
    [[nodiscard]] Duration readPeriod() const;
    [[nodiscard]] bool hasParent() const;
    void followParent();
    void nextParent();
    void subscribe(const InstanceName &to, std::uint64_t version, std::uint64_t digest);
    void judge(const Verdict &verdict, const std::string &cause);
    void refuse(const Verdict &verdict, const std::string &cause);
    void readEnded();
    void updateReading();
    void announce();
    void serve();
    /*!
     * @brief Draws a time with an exponential distribution.
     *
     * It has no memory: the reads of a zone stay spread over time even if all its processes
     * were started at once.
     */
    [[nodiscard]] Duration drawn(Duration mean);

    ConfigIdentity m_identity;
    DistributionPolicy m_policy;
    ConfigStore m_store;
    Subscribers m_subscribers;
    ZoneOrder m_order;
    std::optional<std::size_t> m_position;
    /*! @brief Parents to try, and the one in use. */
    std::vector<InstanceName> m_parents;
    std::size_t m_parent{};
    std::map<InstanceName, TimePoint> m_subscribedAt;
    TimePoint m_renewAt{};
    TimePoint m_parentHeard{};
    /*! @brief Every parent was tried in vain since the last sign of one. */
    bool m_cutOff{};
    TimePoint m_now;
    TimePoint m_started;
    /*! @brief Time of the next read, and of giving up the one in progress. */
    std::optional<TimePoint> m_readAt;
    std::optional<TimePoint> m_readGivenUp;
    bool m_peerAnswered{};
    std::optional<TimePoint> m_confirmed;
    TimePoint m_observeAt;
    std::uint64_t m_random;
    std::uint64_t m_reads{};
    std::uint64_t m_alarmed{};
    std::vector<ConfigIssue> m_refusal;
    ConfigEffects m_effects;
};

} // namespace bergamottide
