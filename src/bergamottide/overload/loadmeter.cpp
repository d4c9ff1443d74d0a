#include "bergamottide/overload/loadmeter.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace bergamottide::overload {

namespace {

constexpr Duration bucketLength = std::chrono::milliseconds{100};
/*! @brief Whole buckets of the recent past, beside the current one. */
constexpr std::int64_t recentBuckets = 2;

std::int64_t intervalOf(TimePoint time)
{
    return time.time_since_epoch() / bucketLength;
}

TimePoint startOf(std::int64_t interval)
{
    return TimePoint{bucketLength * interval};
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

LoadMeter::LoadMeter(double processorShare, double linkBytesPerSecond) noexcept
    : m_processorShare{processorShare}
    , m_linkBytesPerSecond{linkBytesPerSecond}
{
}

void LoadMeter::recordBusy(Duration busy, TimePoint now)
{
    addBackwards(&Bucket::busy, busy, busy, now);
    m_recordedUntil = now;
}

void LoadMeter::recordLateness(Duration lateness, TimePoint now)
{
    Bucket &bucket = bucketOf(intervalOf(now));
    bucket.lateness += lateness;
    ++bucket.timers;
}

void LoadMeter::recordProcessorTime(Duration total, TimePoint now)
{
    const Duration span = now - std::exchange(m_processorTimeAt, now);
    addBackwards(&Bucket::processorTime, total - std::exchange(m_processorTime, total), span, now);
}

/*! @brief Spreads a time evenly over the buckets of the span that ends now. */
void LoadMeter::addBackwards(Duration Bucket::*figure, Duration time, Duration span, TimePoint now)
{
    const double part = span > Duration::zero() ? seconds(time) / seconds(span) : 0.0;
    TimePoint end = now;
    std::int64_t interval = intervalOf(now);
    for (std::int64_t count = 0; count < bucketCount && interval >= 0 && span > Duration::zero(); ++count) {
        const Duration here = std::min(span, end - startOf(interval));
        bucketOf(interval).*figure += scaled(here, part);
        span -= here;
        end = startOf(interval);
        --interval;
    }
}

void LoadMeter::recordTraffic(std::size_t received, std::size_t sent, TimePoint now)
{
    Bucket &bucket = bucketOf(intervalOf(now));
    bucket.received += received;
    bucket.sent += sent;
}

void LoadMeter::recordRequest(TimePoint now)
{
    ++bucketOf(intervalOf(now)).requests;
}

LoadShares LoadMeter::recent(TimePoint now, Duration unrecorded) const
{
    const std::int64_t current = intervalOf(now);
    const Duration span = (now - startOf(current)) + bucketLength * recentBuckets;
    Bucket sums = sum(current, recentBuckets + 1);
    sums.busy += std::min(unrecorded, span);
    return shares(sums, seconds(span));
}

TimePoint LoadMeter::recordedUntil() const noexcept
{
    return m_recordedUntil;
}

Duration LoadMeter::recentLateness(TimePoint now) const
{
    const Bucket sums = sum(intervalOf(now), recentBuckets + 1);
    return sums.timers == 0 ? Duration::zero() : sums.lateness / sums.timers;
}

double LoadMeter::secondsPerRequest(TimePoint now, Duration unrecorded) const
{
    Bucket sums = sum(intervalOf(now), bucketCount);
    sums.busy += std::min(unrecorded, bucketLength * bucketCount);
    return sums.requests == 0 ? 0.0 : shares(sums, 1.0).highest() / static_cast<double>(sums.requests);
}

LoadMeter::Bucket LoadMeter::sum(std::int64_t last, std::int64_t count) const
{
    Bucket out;
    for (const Bucket &bucket : m_buckets) {
        if (bucket.interval < 0 || bucket.interval > last || bucket.interval <= last - count) {
            continue;
        }
        out.busy += bucket.busy;
        out.processorTime += bucket.processorTime;
        out.lateness += bucket.lateness;
        out.timers += bucket.timers;
        out.received += bucket.received;
        out.sent += bucket.sent;
        out.requests += bucket.requests;
    }
    return out;
}

LoadShares LoadMeter::shares(const Bucket &sums, double seconds) const
{
    LoadShares out;
    const double processorTime =
        m_processorShare > 0.0 ? overload::seconds(sums.processorTime) / m_processorShare : 0.0;
    out.processor = std::max(processorTime, overload::seconds(sums.busy)) / seconds;
    if (m_linkBytesPerSecond > 0.0) {
        const auto bytes = static_cast<double>(std::max(sums.received, sums.sent));
        out.link = bytes / (m_linkBytesPerSecond * seconds);
    }
    return out;
}

LoadMeter::Bucket &LoadMeter::bucketOf(std::int64_t interval)
{
    Bucket &bucket = m_buckets.at(static_cast<std::size_t>(interval % bucketCount));
    if (bucket.interval < interval) {
        bucket = Bucket{.interval = interval};
    }
    return bucket;
}

} // namespace bergamottide::overload
