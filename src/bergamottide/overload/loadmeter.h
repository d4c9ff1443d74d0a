#pragma once

#include "bergamottide/core/time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace bergamottide::overload {

/*! @brief Used shares of what a process can carry; 1 is all of it. */
struct LoadShares
{
    /*! @brief Processor time relative to the instance's share, or the part of the time in which the event loop was not
     * waiting if that is more. */
    double processor{};
    /*! @brief Bytes in the busier direction, relative to the link's; zero if its bandwidth is unknown. */
    double link{};

    /*! @brief Returns the share of the scarcer one. */
    [[nodiscard]] double highest() const noexcept
    {
        return processor > link ? processor : link;
    }
};

/**
 * @brief Measures what the work of a process takes of its processor and link, over the last second.
 *
 * Neither processor time nor the time in which the event loop is not waiting is enough alone: a process may get less
 * than its share, and one that is held back may be so while its loop waits.
 */
class LoadMeter
{
public:
    /**
     * @brief Creates a meter that has measured nothing.
     * @param processorShare Processor time available to the instance, in cores.
     * @param linkBytesPerSecond Bandwidth of the instance in each direction; zero if unknown.
     */
    LoadMeter(double processorShare, double linkBytesPerSecond) noexcept;

    /**
     * @brief Records time in which the event loop did not wait.
     * @param busy Length of the time, which has just ended.
     * @param now Current time.
     */
    void recordBusy(Duration busy, TimePoint now);

    /*! @brief Records how late a timer ran; other events wait as long. */
    void recordLateness(Duration lateness, TimePoint now);

    /**
     * @brief Records the processor time of the process.
     * @param total Processor time since its start.
     * @param now Current time.
     */
    void recordProcessorTime(Duration total, TimePoint now);

    /**
     * @brief Records bytes of callers and endpoints.
     * @param received Bytes read.
     * @param sent Bytes handed to the kernel, or queued for it.
     * @param now Current time.
     */
    void recordTraffic(std::size_t received, std::size_t sent, TimePoint now);

    /*! @brief Records that a caller's request has been read. */
    void recordRequest(TimePoint now);

    /**
     * @brief Returns the used shares over the last 200 to 300 ms.
     * @param now Current time.
     * @param unrecorded Time, until now, in which the event loop did not wait and which has not been recorded.
     */
    [[nodiscard]] LoadShares recent(TimePoint now, Duration unrecorded = {}) const;

    /*! @brief Returns the end of the last time that was recorded as busy. */
    [[nodiscard]] TimePoint recordedUntil() const noexcept;

    /*! @brief Returns the mean lateness of timers over the last 200 to 300 ms. */
    [[nodiscard]] Duration recentLateness(TimePoint now) const;

    /**
     * @brief Returns the capacity that a request takes, with its part of all other work.
     * @param now Current time.
     * @param unrecorded Time, until now, in which the event loop did not wait and which has not been recorded.
     * @return Seconds of the scarcer of processor and link, over the last second; zero if no request has been read.
     */
    [[nodiscard]] double secondsPerRequest(TimePoint now, Duration unrecorded = {}) const;

private:
    struct Bucket
    {
        /*! @brief Number of the interval that the figures belong to. */
        std::int64_t interval{-1};
        Duration busy{};
        Duration processorTime{};
        Duration lateness{};
        std::int64_t timers{};
        std::size_t received{};
        std::size_t sent{};
        std::size_t requests{};
    };

    /*! @brief Sums of the buckets that end in the given interval. */
    [[nodiscard]] Bucket sum(std::int64_t last, std::int64_t count) const;
    [[nodiscard]] LoadShares shares(const Bucket &sums, double seconds) const;
    Bucket &bucketOf(std::int64_t interval);

    static constexpr std::int64_t bucketCount = 10;

    void addBackwards(Duration Bucket::*figure, Duration time, Duration span, TimePoint now);

    double m_processorShare;
    double m_linkBytesPerSecond;
    Duration m_processorTime{};
    TimePoint m_processorTimeAt{};
    TimePoint m_recordedUntil{};
    std::array<Bucket, bucketCount> m_buckets{};
};

} // namespace bergamottide::overload
