#pragma once

#include "bergamottide/net/loop.h"
#include "bergamottide/side/sideevents.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace bergamottide {

/*! @brief Hooks of an endpoint; called on the loop's thread, never from within a method of the adapter. */
struct EndpointHooks
{
    std::function<void(EndpointPiece)> piece;
    /*! @brief Called once for each run started, last, unless the run was cancelled. */
    std::function<void(EndpointFinished)> finished;
    std::function<void(EndpointReport)> reported;
    std::function<void(OrderAnswered)> ordered;
};

/*! @brief Address and limits of one endpoint. */
struct EndpointSettings
{
    /*! @brief IP number and port, `ip:port`. */
    std::string address;
    PoolKind kind{};
    /*!
     * @brief Largest result of one run in bytes.
     *
     * A broken endpoint that never ends its answer costs this much memory for each of its own runs.
     */
    std::size_t maxResultBytes{4u << 20};
    /*! @brief Silence after which a run is given up; longer than the longest stage may be silent. */
    Duration silence{std::chrono::seconds{30}};
};

/**
 * @brief One endpoint as its side sees it; each kind of endpoint has an adapter.
 *
 * The wire format of an endpoint lives in its adapter alone: another format is another
 * adapter and touches no decision.
 */
class EndpointAdapter
{
public:
    virtual ~EndpointAdapter() = default;

    /**
     * @brief Starts a run.
     * @param start Run with its input and its pool.
     */
    virtual void start(const EndpointStart &start) = 0;

    /**
     * @brief Stops a run at the endpoint; none of its hooks is called afterwards.
     * @param run Run to stop; one that has ended is ignored.
     */
    virtual void cancel(const RunId &run) = 0;

    /**
     * @brief Gives an order; an endpoint that takes none refuses it.
     * @param order Order with its fencing number.
     */
    virtual void order(const GiveOrder &order) = 0;

    /*! @brief Asks the endpoint for its load; answered by `reported` if the endpoint tells. */
    virtual void poll() = 0;
};

/**
 * @brief Creates the adapter of an endpoint's kind.
 * @param loop Loop it runs on; outlives the adapter.
 * @param settings Address, kind and limits.
 * @param hooks Called for each event.
 * @return The adapter.
 */
[[nodiscard]] std::unique_ptr<EndpointAdapter> makeEndpointAdapter(Loop &loop, const EndpointSettings &settings,
                                                                   EndpointHooks hooks);

} // namespace bergamottide
