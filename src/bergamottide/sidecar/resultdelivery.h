#pragma once

#include "bergamottide/sidecar/runtable.h"
#include "bergamottide/sidecar/sidecarcontext.h"

#include <string>
#include <string_view>

namespace bergamottide {

/*! @brief How a run has ended. */
struct RunOutcome
{
    RunState state{};
    Reason reason{};
    /*! @brief Time after which a retry makes sense; set for a refusal. */
    Duration retryAfter{};
};

/**
 * @brief Delivers the results of runs to their subscribers.
 *
 * The whole result is stored, so a subscriber can resume from any byte offset on a new
 * stream. Runs in progress send keep-alives every half of `progressTimeout`. The end of a
 * run is resent with truncated exponential backoff until every subscriber has acknowledged
 * it or the retention has passed.
 */
class ResultDelivery
{
public:
    /**
     * @brief Creates the component; the references must outlive it.
     * @param context Shared state of the sidecar.
     * @param runs Runs of the sidecar.
     */
    ResultDelivery(SidecarContext &context, RunTable &runs);

    /**
     * @brief Subscribes a process to a run and sends it the result so far.
     * @param run Run.
     * @param peer Subscriber.
     * @param offset Byte offset of the result from which to send.
     */
    void subscribe(RunRecord &run, const InstanceName &peer, std::uint64_t offset);

    /**
     * @brief Appends a piece to the result and sends it to the subscribers.
     * @param run Run at the endpoint.
     * @param piece Piece of the result.
     * @param tokens Number of tokens in the piece.
     */
    void append(RunRecord &run, const std::string &piece, std::uint32_t tokens);

    /**
     * @brief Ends a run and notifies its subscribers.
     * @param run Run that is queued or at the endpoint.
     * @param outcome How it ended.
     */
    void finish(RunRecord &run, const RunOutcome &outcome);

    /**
     * @brief Records that a subscriber has the whole result; removes a repeatable run that all have acknowledged.
     * @param id Run.
     * @param peer Subscriber.
     */
    void acknowledge(const RunId &id, const InstanceName &peer);

    /*! @brief Sends a keep-alive of a run in progress to its connected subscribers. */
    void sendKeepAlives(RunRecord &run);

    /**
     * @brief Resends the end of a run to subscribers that have not acknowledged it, or removes an expired run.
     * @param run Run that has ended.
     */
    void repeatOrExpire(RunRecord &run);

    /*! @brief Sends `RunFinished` for a run that has ended to one subscriber. */
    void sendEnd(const RunRecord &run, const InstanceName &peer);

    /*! @brief Returns the time until which a run that ends now is retained. */
    [[nodiscard]] TimePoint retentionEnd() const;

    /*! @brief Returns the size of all stored bodies and results in bytes. */
    [[nodiscard]] std::size_t heldBytes() const noexcept;

    /*! @brief Returns whether so much is stored that no new request should be opened. */
    [[nodiscard]] bool isMemoryLow() const noexcept;

    /*! @brief Returns whether so much is stored that no new run should be queued. */
    [[nodiscard]] bool isMemoryFull() const noexcept;

    /*! @brief Adds the size of a new run to the stored bytes. */
    void addHeldBytes(const RunRecord &run);

    /*! @brief Removes a run and subtracts its size from the stored bytes; an unknown run is ignored. */
    void forget(const RunId &id);

private:
    void sendResultFrom(const RunRecord &run, const InstanceName &peer, std::uint64_t offset);
    void sendKeepAlive(const RunRecord &run, const InstanceName &peer);
    [[nodiscard]] Duration keepAlivePeriod() const;

    SidecarContext &m_context;
    RunTable &m_runs;
    std::size_t m_heldBytes{};
};

} // namespace bergamottide
