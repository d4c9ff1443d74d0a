#pragma once

#include "bergamottide/sidecar/sidecarevents.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bergamottide::test {

/*! @brief How long an endpoint takes: the law behind every figure of the policy measurements. */
struct ServiceLaw
{
    /*! @brief Runs the endpoint works on at once; more wait in its own queue, in order of arrival. */
    std::uint32_t concurrency{4};
    /*! @brief Time of one unit of work for a run that is alone. */
    Duration perUnit{std::chrono::milliseconds{1}};
    /*! @brief Growth of that time with each further run in the batch; zero for stages that do not batch. */
    double batchSlope{};
};

/**
 * @brief Returns the one right result of a stage.
 * @param stage Name of the stage.
 * @param body Body of the caller's request.
 * @param previous Result of the stage before; empty for the first.
 * @return Text that no other request or stage shares.
 */
[[nodiscard]] std::string stageResult(const StageName &stage, std::string_view body, std::string_view previous);

/*! @brief Endpoint under a virtual clock: processor sharing within a batch, first come first served before it. */
class FakeEndpoint
{
public:
    /**
     * @brief Creates an idle endpoint.
     * @param law How long it takes.
     */
    explicit FakeEndpoint(ServiceLaw law);

    /**
     * @brief Takes a run.
     * @param start Run as the side handed it over.
     * @param units Work it takes, in the units of the law.
     * @param now Time.
     */
    void start(const StartEndpointRun &start, double units, TimePoint now);

    /**
     * @brief Stops a run; nothing further is said of it.
     * @return Units of work done for it.
     */
    double cancel(const RunId &run, TimePoint now);

    /*! @brief Ends every run at once with a failure, as a crash of the endpoint does. */
    [[nodiscard]] std::vector<SidecarEvent> crash(TimePoint now);

    /*! @brief Returns pieces and ends of runs up to a time. */
    [[nodiscard]] std::vector<SidecarEvent> advance(TimePoint now);

    /*! @brief Returns the time of the next piece or end, if any run is in progress. */
    [[nodiscard]] std::optional<TimePoint> nextTime() const;

    /*! @brief Multiplies the time of a unit; 1 is ordinary. */
    void setSlowness(double factor, TimePoint now);

    /*! @brief Lets every new run fail after a millisecond, as an endpoint does that answers errors fast. */
    void setFailing(bool failing);

    /*! @brief Returns the load as the endpoint itself sees it. */
    [[nodiscard]] EndpointLoadReport report() const;

    /*! @brief Returns the units of work done for a run that `advance` has just ended. */
    [[nodiscard]] double lastWork(const RunId &run) const;

    /*! @brief Returns the units of work done since the start of the endpoint. */
    [[nodiscard]] double workDone() const noexcept;

private:
    struct Run
    {
        RunId id;
        std::string result;
        double units{};
        double done{};
        std::uint32_t sent{};
        bool fails{};
    };

    [[nodiscard]] std::size_t batch() const;
    [[nodiscard]] double unitMicroseconds() const;
    void work(TimePoint now);
    void emit(Run &run, std::vector<SidecarEvent> &events) const;

    ServiceLaw m_law;
    std::vector<Run> m_runs;
    std::vector<Run> m_ended;
    TimePoint m_now{};
    double m_slowness{1.0};
    double m_workDone{};
    bool m_failing{};
};

} // namespace bergamottide::test
