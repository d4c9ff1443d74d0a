#pragma once

#include "bergamottide/side/runtable.h"
#include "bergamottide/side/sidecontext.h"

#include <string>
#include <string_view>

namespace bergamottide {

/*! @brief How a run has ended. */
struct RunEnd
{
    RunState state{};
    Reason reason{};
    /*! @brief Time after which another try makes sense, with a refusal. */
    Duration retryAfter{};
};

/**
 * @brief Brings the results of runs to those who follow them.
 *
 * A result is kept with the offset of every piece, so that any follower gets it whole from
 * any offset over any stream. A run in progress gives a sign of life every half of
 * `progressTimeout`, so that silence means a lost stream or a lost side. The end is
 * repeated, with truncated exponential backoff, until it is acknowledged or has expired.
 */
class RunDelivery
{
public:
    /**
     * @brief Takes what it works on.
     * @param context Shared parts of the side.
     * @param runs Runs of the side.
     */
    RunDelivery(SideContext &context, RunTable &runs);

    /**
     * @brief Makes a process follow a run and sends it the result so far.
     * @param run Run.
     * @param peer Process.
     * @param offset Byte of the result from which to send.
     */
    void follow(Run &run, const InstanceName &peer, std::uint64_t offset);

    /**
     * @brief Adds a piece to the result and passes it on.
     * @param run Run at the endpoint.
     * @param piece Piece of the result.
     * @param tokens Tokens in the piece.
     */
    void append(Run &run, const std::string &piece, std::uint32_t tokens);

    /**
     * @brief Ends a run and tells its followers.
     * @param run Run that is queued or at the endpoint.
     * @param end How it ended.
     */
    void finish(Run &run, const RunEnd &end);

    /**
     * @brief Records that a process has the whole result; forgets a repeatable run that everyone has.
     * @param id Run.
     * @param peer Process.
     */
    void acknowledge(const RunId &id, const InstanceName &peer);

    /*! @brief Gives a sign of life of a run in progress. */
    void signOfLife(Run &run);

    /**
     * @brief Repeats the end of a run, or forgets the run when its time is over.
     * @param run Run that has ended.
     */
    void repeatOrExpire(Run &run);

    /*! @brief Tells a process the end of a run. */
    void sendEnd(const Run &run, const InstanceName &peer);

    /*! @brief Returns the time until which a run that ends now is kept. */
    [[nodiscard]] TimePoint keptUntil() const;

    /*! @brief Returns the bytes of bodies and results held for all runs. */
    [[nodiscard]] std::size_t heldBytes() const noexcept;

    /*! @brief Tells if so much is held that no request should be opened whose result would be kept too. */
    [[nodiscard]] bool crowded() const noexcept;

    /*! @brief Tells if so much is held that no run should be taken. */
    [[nodiscard]] bool full() const noexcept;

    /*! @brief Counts the bytes that a run holds from its arrival on. */
    void hold(const Run &run);

    /*! @brief Forgets a run and what it holds. */
    void forget(const RunId &id);

private:
    void sendFrom(const Run &run, const InstanceName &peer, std::uint64_t offset);
    void sendSign(const Run &run, const InstanceName &peer);
    [[nodiscard]] Duration signPeriod() const;

    SideContext &m_context;
    RunTable &m_runs;
    std::size_t m_heldBytes{};
};

} // namespace bergamottide
