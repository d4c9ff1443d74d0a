#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/events/events.h"
#include "bergamottide/events/heartbeat.h"
#include "bergamottide/gossip/gossiptable.h"
#include "bergamottide/pools/endpointregistry.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace bergamottide::serving {

/**
 * @brief What endpoints say of themselves in their responses.
 *
 * Limits and drains concern all processes: one that gets no response from an endpoint learns of them from the others.
 * Of limits the latest response counts; a drain cannot be withdrawn. Both end with the instance that announced them.
 */
class EndpointNotices
{
public:
    /**
     * @brief Creates an empty table.
     * @param clock Numbers the changes; must outlive the table.
     * @param endpoints Receives limits and drains; must outlive the table.
     */
    EndpointNotices(GossipClock &clock, EndpointRegistry &endpoints);

    /**
     * @brief Records what an endpoint said of itself in a response to this process.
     * @param instance Endpoint.
     * @param notice Content of the response.
     * @param now Current time.
     * @param effects Receives a log line for a change, and metrics.
     */
    void record(const InstanceName &instance, const EndpointNotice &notice, TimePoint now, Effects &effects);

    /*! @brief Applies what peers have learned. */
    void merge(const std::vector<NoticeReport> &reports, TimePoint now, Effects &effects);

    /*! @brief Applies what is known after a change of the list of endpoints, and forgets what removed ones announced.
     */
    void updateEndpoints(TimePoint now, Effects &effects);

    /**
     * @brief Returns what has changed since a version.
     * @param since Version; zero for all.
     * @param now Current time.
     */
    [[nodiscard]] std::vector<NoticeReport> reportsSince(std::uint64_t since, TimePoint now) const;

private:
    struct Notice
    {
        std::uint64_t incarnation{};
        /*! @brief Limit in requests per second; empty for none. */
        std::optional<double> requestsPerSecond;
        bool isDraining{};
        /*! @brief Time of the latest response that said so. */
        TimePoint at{};

        [[nodiscard]] bool isSameAs(const Notice &other) const noexcept;
    };

    void recordLoad(const Endpoint &endpoint, const EndpointLoad &load, TimePoint now, Effects &effects);
    void recordShared(const InstanceName &instance, const EndpointNotice &response, TimePoint now, Effects &effects);
    [[nodiscard]] const Notice *find(const InstanceName &instance, std::uint64_t incarnation) const;
    [[nodiscard]] static Notice merged(const Notice &known, const Notice &reported);
    void mergeReport(const NoticeReport &report, TimePoint now);
    void apply(const InstanceName &instance, const Notice &notice, Effects &effects);

    EndpointRegistry &m_endpoints;
    GossipTable<InstanceName, Notice> m_notices;
};

} // namespace bergamottide::serving
