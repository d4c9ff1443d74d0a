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

/*! @brief Event: the configuration service has returned a document. */
struct ConfigDocumentRead
{
    std::string text;
};

/*! @brief Event: the configuration service has no newer document than the active one. */
struct ConfigUnchanged
{
};

/*! @brief Event: a read of the configuration service has failed. */
struct ConfigReadFailed
{
};

/*! @brief Any event of the distribution; messages that do not concern the configuration are ignored. */
using ConfigEvent =
    std::variant<PeerMessage, PeerDown, ViewChanged, ConfigDocumentRead, ConfigUnchanged, ConfigReadFailed, Tick>;

/*! @brief Effect: read the configuration service once. */
struct ReadConfig
{
    /*! @brief Active version; only a newer document is requested. */
    std::uint64_t newerThan{};
};

/*! @brief Any effect of the distribution. */
using ConfigEffect = std::variant<SendMessage, ReadConfig, ConfigChanged, LogLine, AuditRecord, Observe>;

/*! @brief Effects of one event, in execution order. */
using ConfigEffects = std::vector<ConfigEffect>;

/*! @brief Identity and location of the process. */
struct ConfigIdentity
{
    InstanceName instance;
    RegionName region;
    ZoneName zone;
    /*! @brief Seed of the random read delays. */
    std::uint64_t seed{};
};

/*! @brief Parameters of the distribution. */
struct DistributionPolicy
{
    /*!
     * @brief Number of processes of a zone that read the service, the first ones of its order.
     *
     * The service returns only whole documents, so the reads are spread over many processes.
     */
    std::size_t readers{128};
    /*! @brief Mean time between two reads by any process of a zone. */
    Duration zoneReadInterval{std::chrono::milliseconds{500}};
    /*! @brief Lower bound of the mean time between two reads of one process; applies in small zones. */
    Duration minReadInterval{std::chrono::seconds{1}};
    /*! @brief Timeout of a read. */
    Duration readTimeout{std::chrono::seconds{5}};
    /*! @brief Maximum number of children in the tree; bounds the bandwidth of a process. */
    std::size_t arity{2};
    SubscriberPolicy subscribers;
    /*! @brief Silence of a parent after which the next candidate is tried: several heartbeats. */
    Duration parentTimeout{std::chrono::milliseconds{3500}};
    /*! @brief Interval at which a subscription is renewed, a third of its lease. */
    Duration renewInterval{std::chrono::seconds{10}};
    /*! @brief Minimum time between two subscription messages to one process. */
    Duration minSubscribeInterval{std::chrono::milliseconds{500}};
    /*! @brief Time after the start during which only peers are asked, since the service may be stale. */
    Duration peerOnlyPeriod{std::chrono::seconds{1}};
    /*!
     * @brief Mean time between the reads of a process that no parent responds to.
     *
     * Even if all processes are isolated, their reads stay within the rate limit of the service.
     */
    Duration isolatedReadInterval{std::chrono::seconds{30}};
};

/*! @brief Status of the distribution in one process, for operators. */
struct ConfigStatus
{
    std::uint64_t version{};
    std::uint64_t digest{};
    /*! @brief No peer has sent its version since the start, so the document may be stale. */
    bool unconfirmed{true};
    /*! @brief Current parent; empty if there is none. */
    InstanceName parent;
    std::size_t subscribers{};
    /*! @brief Number of reads of the configuration service since the start. */
    std::uint64_t reads{};
    /*! @brief Issues of the last refused document; empty if none was refused since a document was accepted. */
    std::vector<ConfigIssue> refusalIssues;
};

/**
 * @brief Distributes configuration documents to all processes and keeps the active one.
 *
 * Neither the rate limit of the configuration service nor the bandwidth of a process allows every process to read each
 * change from the service. In each availability zone the first processes of the zone order read it at random times. The
 * processes of a zone form a tree along which deltas travel: upwards from a process that has read a newer document, and
 * downwards to all others. The root of a zone subscribes to the root of another zone, so that a zone without access to
 * the service follows, too.
 *
 * The tree has no coordinator: each process derives its position from the instance list, replaces a silent parent by
 * the next candidate, and reads the service at a low rate when no parent responds. Every document passes through
 * ConfigStore, so that the active version never goes backwards.
 */
class ConfigDistribution
{
public:
    /**
     * @brief Starts without an active document.
     * @param identity Identity of the process.
     * @param policy Parameters.
     * @param now Time of the start.
     */
    ConfigDistribution(ConfigIdentity identity, DistributionPolicy policy, TimePoint now);

    /**
     * @brief Applies one event.
     * @param event Event.
     * @param now Current time; must not decrease between calls.
     * @return Effects to execute, in order.
     */
    [[nodiscard]] ConfigEffects apply(const ConfigEvent &event, TimePoint now);

    /*! @brief Returns the time at which the next `Tick` is due. */
    [[nodiscard]] TimePoint nextWakeup() const;

    /*! @brief Returns the active document; null if there is none. */
    [[nodiscard]] const SnapshotPointer &current() const noexcept
    {
        return m_store.current();
    }

    /**
     * @brief Returns the time since the active document was last confirmed to be the published one.
     * @param now Current time.
     */
    [[nodiscard]] Duration age(TimePoint now) const;

    /*! @brief Returns the status for operators. */
    [[nodiscard]] ConfigStatus status() const;

private:
    void handle(const PeerMessage &event);
    void handle(const PeerDown &event);
    void handle(const ViewChanged &event);
    void handle(const ConfigDocumentRead &event);
    void handle(const ConfigUnchanged &event);
    void handle(const ConfigReadFailed &event);
    void handle(const Tick &event);

    void receive(const InstanceName &from, const ConfigSubscribe &request);
    void receive(const InstanceName &from, const ConfigDelta &delta);
    void receive(const InstanceName &from, const Hello &hello);

    [[nodiscard]] bool isReader() const;
    [[nodiscard]] bool mayRead() const;
    [[nodiscard]] Duration readInterval() const;
    [[nodiscard]] bool hasParent() const;
    void subscribeToParent();
    void switchParent();
    void subscribe(const InstanceName &to, std::uint64_t version, std::uint64_t digest);
    void reportVerdict(const Verdict &verdict, const std::string &source);
    void reportRefusal(const Verdict &verdict, const std::string &source);
    void finishRead();
    void scheduleRead();
    void notifyParent();
    void updateSubscribers();
    /*!
     * @brief Returns an exponentially distributed random delay.
     *
     * The distribution is memoryless, so that the reads of a zone stay spread even if its processes start together.
     */
    [[nodiscard]] Duration drawDelay(Duration mean);

    ConfigIdentity m_identity;
    DistributionPolicy m_policy;
    ConfigStore m_store;
    Subscribers m_subscribers;
    ZoneOrder m_zoneOrder;
    std::optional<std::size_t> m_position;
    /*! @brief Parent candidates in order of preference. */
    std::vector<InstanceName> m_parents;
    /*! @brief Index of the current parent. */
    std::size_t m_parent{};
    std::map<InstanceName, TimePoint> m_subscribedAt;
    TimePoint m_renewAt{};
    TimePoint m_parentHeardAt{};
    /*! @brief All parent candidates were tried without a response. */
    bool m_isIsolated{};
    TimePoint m_now;
    TimePoint m_startedAt;
    /*! @brief Time of the next read. */
    std::optional<TimePoint> m_readAt;
    /*! @brief Timeout of the read in progress. */
    std::optional<TimePoint> m_readTimeoutAt;
    bool m_peerAnswered{};
    std::optional<TimePoint> m_confirmedAt;
    TimePoint m_metricsAt;
    std::uint64_t m_randomState;
    std::uint64_t m_reads{};
    /*! @brief Hash of the last reported refusal. */
    std::uint64_t m_lastRefusalKey{};
    std::vector<ConfigIssue> m_refusal;
    ConfigEffects m_effects;
};

} // namespace bergamottide
