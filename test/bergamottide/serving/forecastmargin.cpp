#include "servingfixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <string>

using namespace bergamottide;
using namespace bergamottide::serving;
using bergamottide::test::ServingFixture;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t encoders = 12;
/*! @brief Endpoints of the second stage, which is the bottleneck. */
constexpr std::uint32_t rerankers = 6;
constexpr std::uint32_t piecesOfARequest = 4;
constexpr Duration engineTime = milliseconds{100};
constexpr Duration streamTime = milliseconds{200};
/*! @brief The duration of a call is the stated one times a factor that varies by this. */
constexpr double callVariation = 1.0 / 3.0;
/*! @brief Period of that variation, which all endpoints share: some calls, and less than an objective. */
constexpr Duration variationPeriod = milliseconds{1700};

/*! @brief Load of a play, as multiples of the capacity of the bottleneck. */
struct Load
{
    Duration calmTime = seconds{3};
    double calmLoad{0.5};
    Duration burstTime = seconds{8};
    double burstLoad{1.5};
};

/*! @brief What became of the requests of a play. */
struct Outcomes
{
    /*! @brief Requests whose admission was decided with a measured margin, and the longest such margin. */
    int decidedByMargin{};
    Duration longestMargin{};
    /*! @brief Requests that had ended, or had got their first event, when a margin counted first. */
    int endedBeforeMargin{};
    int rejectedOnArrival{};
    int rejectedLater{};
    int late{};
    int onTime{};
    /*! @brief Errors of forecasts that were recorded. */
    int samples{};

    [[nodiscard]] std::string text() const
    {
        return "rejected on arrival " + std::to_string(rejectedOnArrival) + ", later " + std::to_string(rejectedLater)
            + ", late " + std::to_string(late) + ", on time " + std::to_string(onTime);
    }
};

/*! @brief Requests with two stages and a generation, whose second stage pool is overloaded for a time. */
class OverloadedStage
{
public:
    OverloadedStage(std::uint64_t seed, bool hasPace)
        : m_random{seed}
        , m_hasPace{hasPace}
        , m_phase{std::uniform_real_distribution{0.0, 1.0}(m_random)}
    {
        reportLoad();
    }

    [[nodiscard]] Outcomes play(const Load &load = {})
    {
        m_outcomes = {};
        const TimePoint start = m_now;
        const TimePoint burst = start + load.calmTime;
        const TimePoint end = burst + load.burstTime;
        TimePoint nextArrival = start;
        // After the last arrival, all requests end within their timeout.
        while (m_now < end + seconds{4}) {
            while (nextArrival <= m_now && nextArrival < end) {
                arrive();
                nextArrival += pause(nextArrival < burst ? load.calmLoad : load.burstLoad);
            }
            m_now += milliseconds{1};
            apply(Tick{});
            applyDueEvents();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_fixture.reducer().requestsInProgress());
        return m_outcomes;
    }

    /*! @brief Puts a catalog without the route in effect, then the usual one. */
    void removeRouteForATime()
    {
        auto without = std::make_shared<Catalog>(*ServingFixture::catalog());
        std::erase_if(without->routes, [](const Route &route) { return route.name == "report"; });
        without->buildIndex();
        apply(CatalogChanged{without});
        apply(CatalogChanged{ServingFixture::catalog()});
    }

private:
    [[nodiscard]] static std::shared_ptr<const EndpointList> endpoints()
    {
        auto list = std::make_shared<EndpointList>(*ServingFixture::endpoints());
        for (std::uint32_t index = 2; index <= encoders; ++index) {
            list->push_back({InstanceName{"encoder-" + std::to_string(index)}, PoolName{"encoders"}, "10.0.0.1:1",
                             ZoneName{"a"}, 4, false});
        }
        for (std::uint32_t index = 2; index <= rerankers; ++index) {
            list->push_back({InstanceName{"reranker-" + std::to_string(index)}, PoolName{"rerankers"}, "10.0.0.1:1",
                             ZoneName{"a"}, 4, false});
        }
        return list;
    }

    /*! @brief Reports the pace of an engine, if the play has one. */
    void reportLoad()
    {
        EndpointNotice notice;
        notice.load = EndpointLoad{0, 0, 4, m_hasPace ? std::optional{1.0} : std::nullopt};
        m_fixture.apply(EndpointResponded{InstanceName{"engine-1"}, notice});
    }

    /*! @brief Returns a random time between two arrivals at a multiple of the capacity of the second stage. */
    [[nodiscard]] Duration pause(double load)
    {
        const BatchSpec batch = ServingFixture::batch();
        const double callSeconds =
            std::chrono::duration<double>(batch.callTime + batch.itemTime * batch.maxItems).count();
        const double capacity = rerankers * batch.maxItems / callSeconds / piecesOfARequest;
        const double pauseSeconds = std::exponential_distribution{load * capacity}(m_random);
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(pauseSeconds));
    }

    void arrive()
    {
        const std::uint64_t call = m_nextCall++;
        RequestArrived arrival = m_fixture.arrival("/report/1", call);
        arrival.request.pieces = {piecesOfARequest, piecesOfARequest};
        arrival.request.prompt = {{"part-" + std::to_string(call), 100}};
        m_arrivals.emplace(CallId{call}, m_now);
        apply(arrival);
    }

    void applyDueEvents()
    {
        while (!m_events.empty() && m_events.begin()->first <= m_now) {
            const Event event = m_events.begin()->second;
            m_events.erase(m_events.begin());
            apply(event);
        }
    }

    void apply(const Event &event)
    {
        handle(m_fixture.reducer().apply(event, m_now));
    }

    void handle(const Effects &effects)
    {
        for (const Effect &effect : effects) {
            if (const auto *call = std::get_if<StartStageCall>(&effect)) {
                endCallLater(*call);
            } else if (const auto *run = std::get_if<StartRun>(&effect)) {
                m_events.emplace(m_now + engineTime, RunHeadReceived{run->run, ServingFixture::responseHead()});
                m_events.emplace(m_now + engineTime + streamTime, RunCompleted{run->run});
            } else if (const auto *stream = std::get_if<BeginStream>(&effect)) {
                const bool isOnTime = m_now - m_arrivals.at(stream->call) <= objective();
                ++(isOnTime ? m_outcomes.onTime : m_outcomes.late);
            } else if (const auto *error = std::get_if<SendErrorResponse>(&effect)) {
                const bool isOnArrival = m_arrivals.at(error->call) == m_now;
                ++(isOnArrival ? m_outcomes.rejectedOnArrival : m_outcomes.rejectedLater);
            } else if (const auto *line = std::get_if<LogLine>(&effect)) {
                recordMargin(*line);
            } else if (const auto *metric = std::get_if<Observe>(&effect)) {
                m_outcomes.samples += metric->metric == Metric::ForecastMarginSeconds ? 1 : 0;
            }
        }
    }

    void recordMargin(const LogLine &line)
    {
        for (const auto &[name, value] : line.fields) {
            if (name != "margin_ms" || (line.text != "Request admitted." && line.text != "Request rejected.")) {
                continue;
            }
            if (m_outcomes.decidedByMargin++ == 0) {
                m_outcomes.endedBeforeMargin = m_outcomes.onTime + m_outcomes.late + m_outcomes.rejectedLater;
            }
            m_outcomes.longestMargin = std::max<Duration>(m_outcomes.longestMargin, milliseconds{std::stoi(value)});
        }
    }

    void endCallLater(const StartStageCall &call)
    {
        const BatchSpec batch = ServingFixture::batch();
        const Duration stated = batch.callTime + batch.itemTime * static_cast<std::int64_t>(call.items.size());
        const double periods = std::chrono::duration<double>(m_now.time_since_epoch()) / variationPeriod;
        const double factor = 1.0 + callVariation * std::sin(2.0 * M_PI * (periods + m_phase));
        StageCallEnded ended{call.call, StageCallStatus::Answered, {}};
        for (std::size_t item = 0; item < call.items.size(); ++item) {
            ended.results.push_back({"h-" + std::to_string(m_nextHandle++), PieceFailure::None});
        }
        m_events.emplace(m_now + scaled(stated, factor), std::move(ended));
    }

    [[nodiscard]] static Duration objective()
    {
        return ServingFixture::catalog()->findRoute("example", "/report/1")->objective;
    }

    ServingFixture m_fixture{endpoints()};
    TimePoint m_now{m_fixture.now()};
    std::mt19937_64 m_random;
    bool m_hasPace{};
    double m_phase{};
    Outcomes m_outcomes;
    std::map<CallId, TimePoint> m_arrivals;
    std::multimap<TimePoint, Event> m_events;
    std::uint64_t m_nextCall{1};
    std::uint64_t m_nextHandle{};
};

} // namespace

/*! @brief Admission by the measured error of the forecast while a stage pool is overloaded. */
class ForecastMarginTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ForecastMarginTest);
    CPPUNIT_TEST(fewerAdmittedRequestsMissTheirObjective);
    CPPUNIT_TEST(fixedAllowanceCountsWithoutAPace);
    CPPUNIT_TEST(fixedAllowanceCountsWithoutContention);
    CPPUNIT_TEST(fixedAllowanceCountsInANewProcess);
    CPPUNIT_TEST(errorsOfARemovedRouteAreDropped);
    CPPUNIT_TEST(marginIsAtMostAThirdOfTheObjective);
    CPPUNIT_TEST(eachAdmittedRequestIsASample);
    CPPUNIT_TEST(requestBeyondItsDeadlineIsASample);
    CPPUNIT_TEST_SUITE_END();

public:
    /*! @brief Guards against a queue of requests that are rejected after a stage has worked for them, or are late. */
    void fewerAdmittedRequestsMissTheirObjective()
    {
        for (const std::uint64_t seed : {1U, 2U, 3U, 4U, 5U}) {
            const Outcomes fixedAllowance = OverloadedStage{seed, false}.play();
            const Outcomes measuredMargin = OverloadedStage{seed, true}.play();
            const std::string figures = "seed " + std::to_string(seed) + "; fixed allowance: " + fixedAllowance.text()
                + "; measured margin: " + measuredMargin.text();
            CPPUNIT_ASSERT_MESSAGE(figures,
                                   measuredMargin.rejectedLater + measuredMargin.late
                                       < fixedAllowance.rejectedLater + fixedAllowance.late);
            CPPUNIT_ASSERT_MESSAGE(figures, measuredMargin.onTime >= fixedAllowance.onTime);
        }
    }

    /*! @brief Guards against a change for deployments whose endpoints report no pace. */
    void fixedAllowanceCountsWithoutAPace()
    {
        CPPUNIT_ASSERT_EQUAL(0, OverloadedStage(1, false).play().decidedByMargin);
    }

    /*! @brief Guards against rejections because of earlier errors while the stage pools have no queue. */
    void fixedAllowanceCountsWithoutContention()
    {
        OverloadedStage stage{1, true};
        CPPUNIT_ASSERT(stage.play().decidedByMargin > 0);
        CPPUNIT_ASSERT_EQUAL(0, stage.play({.calmTime = Duration::zero(), .burstLoad = lowLoad}).decidedByMargin);
    }

    /*! @brief Guards against decisions by the first few samples. */
    void fixedAllowanceCountsInANewProcess()
    {
        const Outcomes outcomes = OverloadedStage{1, true}.play(burstOnly());
        CPPUNIT_ASSERT(outcomes.decidedByMargin > 0);
        CPPUNIT_ASSERT(outcomes.endedBeforeMargin >= neededSamples);
    }

    /*! @brief Guards against a state that grows with each route that any catalog has had. */
    void errorsOfARemovedRouteAreDropped()
    {
        OverloadedStage kept{1, true};
        static_cast<void>(kept.play());
        CPPUNIT_ASSERT(kept.play(burstOnly()).endedBeforeMargin < neededSamples);
        OverloadedStage removed{1, true};
        static_cast<void>(removed.play());
        removed.removeRouteForATime();
        CPPUNIT_ASSERT(removed.play(burstOnly()).endedBeforeMargin >= neededSamples);
    }

    /*! @brief Guards against a process that admits nothing after large errors. */
    void marginIsAtMostAThirdOfTheObjective()
    {
        const Outcomes outcomes = OverloadedStage{1, true}.play({.burstLoad = 4.0});
        CPPUNIT_ASSERT(outcomes.decidedByMargin > 0);
        CPPUNIT_ASSERT(outcomes.longestMargin
                       <= ServingFixture::catalog()->findRoute("example", "/report/1")->objective / 3);
    }

    /*! @brief Guards against a margin without the errors of rejected requests, which are the worst. */
    void eachAdmittedRequestIsASample()
    {
        const Outcomes outcomes = OverloadedStage{1, true}.play();
        CPPUNIT_ASSERT(outcomes.rejectedLater > 0);
        CPPUNIT_ASSERT_EQUAL(outcomes.onTime + outcomes.late + outcomes.rejectedLater, outcomes.samples);
        CPPUNIT_ASSERT(outcomes.longestMargin > Duration::zero());
    }

    /*! @brief Guards against a margin that ignores requests whose engine never responds. */
    void requestBeyondItsDeadlineIsASample()
    {
        ServingFixture fixture;
        EndpointNotice notice;
        notice.load = EndpointLoad{0, 0, 4, 1.0};
        fixture.apply(EndpointResponded{InstanceName{"engine-1"}, notice});
        RequestArrived arrival = fixture.arrival("/draft/1");
        arrival.request.pieces = {1};
        fixture.apply(arrival);
        const auto *call = fixture.effect<StartStageCall>();
        CPPUNIT_ASSERT(call != nullptr);
        fixture.apply(StageCallEnded{call->call, StageCallStatus::Answered, {{"h-1", PieceFailure::None}}});
        CPPUNIT_ASSERT(fixture.effect<StartRun>() != nullptr);
        const Duration objective = fixture.catalog()->findRoute("example", "/draft/1")->objective;
        std::vector<double> margins;
        for (const Effect &effect : fixture.reducer().apply(Tick{}, fixture.now() + seconds{4})) {
            const auto *metric = std::get_if<Observe>(&effect);
            if (metric != nullptr && metric->metric == Metric::ForecastMarginSeconds) {
                margins.push_back(metric->value);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, margins.size());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(std::chrono::duration<double>(objective).count() / 3, margins.front(), 1e-3);
    }

private:
    /*! @brief Samples that a process needs before the margin counts. */
    static constexpr int neededSamples = 20;
    /*! @brief Load, relative to that of full calls, at which endpoints are idle although calls are not full. */
    static constexpr double lowLoad = 0.2;

    [[nodiscard]] static Load burstOnly()
    {
        return {.calmTime = Duration::zero()};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForecastMarginTest);
