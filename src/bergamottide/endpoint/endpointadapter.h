#pragma once

#include "bergamottide/net/loop.h"
#include "bergamottide/sidecar/sidecarevents.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace bergamottide {

/*! @brief Callbacks of an adapter; called on the loop's thread, never from within a method of the adapter. */
struct EndpointHooks
{
    /*! @brief Called for each piece of a result. */
    std::function<void(EndpointResultPiece)> piece;
    /*! @brief Called once for each started run, after its last piece; never called for a canceled run. */
    std::function<void(EndpointRunEnded)> finished;
    /*! @brief Called for each load report. */
    std::function<void(EndpointLoadReport)> loadReported;
    /*! @brief Called once for each order; an order without a response counts as refused. */
    std::function<void(OrderAnswered)> orderAnswered;
};

/*! @brief Address and limits of one endpoint. */
struct EndpointSettings
{
    /*! @brief IP address and port, `ip:port`. */
    std::string address;
    PoolKind kind{};
    /*! @brief Maximum size of one result in bytes; bounds the memory that an endless response can use. */
    std::size_t maxResultBytes{4u << 20};
    /*! @brief Time without data after which a run fails; must exceed the longest silence of a stage. */
    Duration ioTimeout{std::chrono::seconds{30}};
};

/**
 * @brief Interface of a sidecar to its endpoint.
 *
 * Each kind of endpoint has an adapter, which alone knows the wire format.
 */
class EndpointAdapter
{
public:
    virtual ~EndpointAdapter() = default;

    /**
     * @brief Starts a run.
     * @param start Run with its input and its pool.
     */
    virtual void start(const StartEndpointRun &start) = 0;

    /**
     * @brief Cancels a run at the endpoint; no hook is called for it afterwards.
     * @param run Run to cancel; a run that has ended is ignored.
     */
    virtual void cancel(const RunId &run) = 0;

    /**
     * @brief Sends an order; refused for endpoints that accept none.
     * @param order Order with its fencing token.
     */
    virtual void sendOrder(const SendOrder &order) = 0;

    /*! @brief Requests a load report; `loadReported` is called if the endpoint supports it. */
    virtual void requestLoad() = 0;
};

/**
 * @brief Creates the adapter for a kind of endpoint.
 * @param loop Event loop; must outlive the adapter.
 * @param settings Address, kind and limits.
 * @param hooks Callbacks for the events of the endpoint.
 * @return The adapter.
 */
[[nodiscard]] std::unique_ptr<EndpointAdapter> makeEndpointAdapter(Loop &loop, const EndpointSettings &settings,
                                                                   EndpointHooks hooks);

} // namespace bergamottide
