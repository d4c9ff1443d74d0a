#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/events/events.h"
#include "bergamottide/events/suspects.h"
#include "bergamottide/pools/endpointregistry.h"

#include <map>
#include <optional>

namespace bergamottide::serving {

/*! @brief Run or stage call at an endpoint. */
struct EndpointWork
{
    PoolName pool;
    InstanceName endpoint;
    TimePoint startedAt{};
    /*! @brief Request of a run, or stages of the requests in a stage call, and the prompt parts of a run. */
    Suspects suspects;
    /*! @brief Incarnation of the endpoint when the work was sent. */
    std::uint64_t incarnation{};
};

/*! @brief Crash of an endpoint under the work of this process. */
struct EndpointCrash
{
    InstanceName endpoint;
    std::uint64_t incarnation{};
    Suspects suspects;
};

/**
 * @brief Tells crashed endpoints from lost connections.
 *
 * A lost connection alone may be due to the network or to an endpoint that drops responses, so the first one to an
 * endpoint causes a check.
 */
class CrashDetector
{
public:
    /**
     * @brief Creates a detector.
     * @param endpoints Known endpoints; must outlive the detector.
     */
    explicit CrashDetector(EndpointRegistry &endpoints);

    /**
     * @brief Records work whose connection broke.
     * @param work Work.
     * @param now Current time.
     * @param effects Receives the check of the endpoint, unless there has been one.
     * @return The crash, if the endpoint is known to have crashed under the work.
     */
    [[nodiscard]] std::optional<EndpointCrash> recordBroken(const EndpointWork &work, TimePoint now, Effects &effects);

    /**
     * @brief Handles the result of a check.
     * @param event Result.
     * @param effects Receives log lines and metrics.
     * @return The crash, if the endpoint has crashed.
     */
    [[nodiscard]] std::optional<EndpointCrash> handleChecked(const EndpointChecked &event, Effects &effects);

private:
    struct BrokenEndpoint
    {
        /*! @brief When the first connection broke. */
        TimePoint at{};
        PoolName pool;
        std::uint64_t incarnation{};
        Suspects suspects;
        bool hasCrashed{};
    };

    EndpointRegistry &m_endpoints;
    /*! @brief Endpoints that are being checked or have crashed. */
    std::map<InstanceName, BrokenEndpoint> m_broken;
};

} // namespace bergamottide::serving
