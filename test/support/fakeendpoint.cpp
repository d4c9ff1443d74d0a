#include "support/fakeendpoint.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace bergamottide::test {

namespace {

/*! @brief Pieces in which a result is sent. */
constexpr std::uint32_t pieceCount = 4;
/*! @brief Tolerance of the accounting of work, in units. */
constexpr double epsilon = 1e-6;

/*! @brief Units of work at which the next piece is due. */
double nextBoundary(double units, std::uint32_t sent)
{
    return units * (sent + 1) / pieceCount;
}

} // namespace

std::string stageResult(const StageName &stage, std::string_view body, std::string_view previous)
{
    const auto digest = XXH3_64bits(body.data(), body.size()) ^ (XXH3_64bits(previous.data(), previous.size()) * 3U);
    return stage.text() + ":" + RequestId{digest, body.size()}.text();
}

FakeEndpoint::FakeEndpoint(ServiceLaw law)
    : m_law{law}
{
}

void FakeEndpoint::start(const StartEndpointRun &start, double units, TimePoint now)
{
    work(now);
    Run run{start.spec.run, stageResult(start.spec.stage, start.spec.body, start.spec.previousResult), units};
    run.fails = m_failing;
    if (m_failing) {
        run.units = 1000.0 / static_cast<double>(m_law.perUnit.count());
    }
    m_runs.push_back(std::move(run));
}

double FakeEndpoint::cancel(const RunId &run, TimePoint now)
{
    work(now);
    const auto found = std::find_if(m_runs.begin(), m_runs.end(), [&](const Run &one) { return one.id == run; });
    if (found == m_runs.end()) {
        return 0;
    }
    const double done = found->done;
    m_runs.erase(found);
    return done;
}

std::vector<SidecarEvent> FakeEndpoint::crash(TimePoint now)
{
    work(now);
    std::vector<SidecarEvent> events;
    for (const Run &run : m_runs) {
        events.emplace_back(EndpointRunEnded{run.id, EndpointResult::Failed, Reason::ConnectionLost});
    }
    m_runs.clear();
    return events;
}

std::vector<SidecarEvent> FakeEndpoint::advance(TimePoint now)
{
    work(now);
    std::vector<SidecarEvent> events;
    const auto count = batch();
    for (std::size_t index = 0; index < count; ++index) {
        emit(m_runs[index], events);
    }
    const auto ended =
        std::stable_partition(m_runs.begin(), m_runs.end(), [](const Run &run) { return run.sent < pieceCount; });
    m_ended.assign(ended, m_runs.end());
    m_runs.erase(ended, m_runs.end());
    return events;
}

void FakeEndpoint::emit(Run &run, std::vector<SidecarEvent> &events) const
{
    while (run.sent < pieceCount && run.done + epsilon >= nextBoundary(run.units, run.sent)) {
        const auto from = run.result.size() * run.sent / pieceCount;
        ++run.sent;
        const auto to = run.result.size() * run.sent / pieceCount;
        if (!run.fails) {
            const auto tokens = static_cast<std::uint32_t>(run.units / pieceCount);
            events.emplace_back(EndpointResultPiece{run.id, run.result.substr(from, to - from), tokens});
        }
    }
    if (run.sent < pieceCount) {
        return;
    }
    const auto result = run.fails ? EndpointResult::Failed : EndpointResult::Completed;
    events.emplace_back(EndpointRunEnded{run.id, result, run.fails ? Reason::EndpointFailed : Reason::None});
}

std::optional<TimePoint> FakeEndpoint::nextTime() const
{
    double least = std::numeric_limits<double>::infinity();
    const auto count = batch();
    for (std::size_t index = 0; index < count; ++index) {
        const Run &run = m_runs[index];
        least = std::min(least, nextBoundary(run.units, run.sent) - run.done);
    }
    if (count == 0) {
        return std::nullopt;
    }
    const double microseconds = std::max(0.0, least) * unitMicroseconds();
    return m_now + Duration{static_cast<Duration::rep>(std::ceil(microseconds))};
}

void FakeEndpoint::setSlowness(double factor, TimePoint now)
{
    work(now);
    m_slowness = factor;
}

void FakeEndpoint::setFailing(bool failing)
{
    m_failing = failing;
}

EndpointLoadReport FakeEndpoint::report() const
{
    const auto running = static_cast<std::uint32_t>(batch());
    return EndpointLoadReport{running, static_cast<std::uint32_t>(m_runs.size()) - running, {}, 0};
}

double FakeEndpoint::lastWork(const RunId &run) const
{
    for (const Run &one : m_ended) {
        if (one.id == run) {
            return one.units;
        }
    }
    return 0;
}

double FakeEndpoint::workDone() const noexcept
{
    return m_workDone;
}

std::size_t FakeEndpoint::batch() const
{
    return std::min<std::size_t>(m_runs.size(), m_law.concurrency);
}

double FakeEndpoint::unitMicroseconds() const
{
    const double others = batch() > 0 ? static_cast<double>(batch() - 1) : 0.0;
    return static_cast<double>(m_law.perUnit.count()) * m_slowness * (1.0 + m_law.batchSlope * others);
}

void FakeEndpoint::work(TimePoint now)
{
    const double units = static_cast<double>((now - m_now).count()) / unitMicroseconds();
    m_now = now;
    const auto count = batch();
    for (std::size_t index = 0; index < count; ++index) {
        m_runs[index].done += units;
    }
    m_workDone += units * static_cast<double>(count);
}

} // namespace bergamottide::test
