#include "requestcodec.h"

#include "bergamottide/serving/servingfixture.h"
#include "support/property.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

using namespace bergamottide;
using namespace bergamottide::serving;
using test::ServingFixture;

namespace {

/*! @brief Statuses that promise the caller that its request has not run. */
const std::set<int> statusesOfNotExecuted{408, 421, 429, 503};

/*! @brief One step of a generated sequence: its kind and two arguments. */
using Step = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;

/*! @brief How often the sequences reached the situations that the rule is about. */
struct Coverage
{
    std::size_t runs{};
    std::size_t retries{};
    std::size_t rejectedOnArrival{};
    std::size_t rejectedAfterARun{};
    std::size_t quarantined{};
    std::size_t badGateways{};
    std::size_t timeouts{};
    std::size_t promisesOfEndpoints{};
};

/*! @brief Drives a reducer through steps, and keeps its own account of the runs that may have been executed. */
class Driver
{
public:
    explicit Driver(Coverage &coverage)
        : m_coverage{coverage}
    {
        auto catalog = std::make_shared<Catalog>(*ServingFixture::catalog());
        catalog->version = 2;
        for (Route &route : catalog->routes) {
            if (route.name == "order") {
                route.maxAttempts = 3;
            }
            // Stages before a run that must not be repeated.
            if (route.name == "draft") {
                route.kind = RouteKind::NonIdempotent;
                route.maxAttempts = 2;
            }
        }
        catalog->buildIndex();
        apply(CatalogChanged{catalog});
        list();
    }

    void take(const Step &step)
    {
        const auto [kind, first, second] = step;
        switch (kind) {
        case 0:
        case 1:
        case 2:
            arrive(first, second);
            break;
        case 3:
        case 4:
        case 5:
            respond(first, second);
            break;
        case 6:
            complete(first);
            break;
        case 7:
            fail(first, second);
            break;
        case 8:
            m_fixture.advanceClock(std::chrono::milliseconds{first * 8});
            observe();
            break;
        case 9:
            changeEndpoint(first, second);
            break;
        case 10:
            announce(first, second);
            break;
        case 11:
            check(first, second);
            break;
        case 12:
            endStageCall(first, second);
            break;
        case 13:
            disconnect(first);
            break;
        case 14:
        case 15:
            crash(first);
            break;
        default:
            // Most sequences serve to their end.
            if (first > 250) {
                apply(DrainRequested{});
            }
        }
    }

    /*! @brief Lets all deadlines pass. */
    void finish()
    {
        for (int second = 0; second < 6; ++second) {
            m_fixture.advanceClock(std::chrono::seconds{1});
            observe();
        }
        RC_ASSERT(m_fixture.reducer().requestsInProgress() == std::size_t{0});
    }

private:
    struct Call
    {
        CallerRequest request;
        bool isAnswered{};
        bool isDisconnected{};
        std::size_t runs{};
        /*! @brief Runs that were sent and not proven unexecuted; a cancelled run stays here. */
        std::set<RunNumber> unproven;
    };

    struct Run
    {
        std::uint64_t call{};
        InstanceName instance;
        bool hasHead{};
        bool hasEnded{};
    };

    void apply(const Event &event)
    {
        m_fixture.apply(event);
        observe();
    }

    /*! @brief Checks the effects of the last event against the account. */
    void observe()
    {
        for (const Effect &effect : m_fixture.effects()) {
            if (const auto *start = std::get_if<StartRun>(&effect)) {
                recordStart(*start);
            } else if (const auto *error = std::get_if<SendErrorResponse>(&effect)) {
                recordError(*error);
            } else if (const auto *response = std::get_if<SendResponse>(&effect)) {
                recordAnswer(response->call, response->status);
            } else if (const auto *cancelled = std::get_if<CancelRun>(&effect)) {
                m_runs.at(cancelled->run).hasEnded = true;
            } else if (const auto *check = std::get_if<CheckEndpoint>(&effect)) {
                m_checks.push_back(check->instance);
            } else if (const auto *stage = std::get_if<StartStageCall>(&effect)) {
                m_stageCalls.emplace_back(stage->call, stage->items.size());
            }
        }
    }

    void recordStart(const StartRun &start)
    {
        Call &call = m_calls.at(static_cast<std::uint64_t>(start.request->call));
        RC_ASSERT(!call.isAnswered);
        RC_ASSERT(!call.isDisconnected);
        RC_ASSERT(!start.mayRunTwice);
        RC_ASSERT(call.unproven.empty());
        call.unproven.insert(start.run);
        m_runs[start.run] = Run{static_cast<std::uint64_t>(start.request->call), start.instance};
        ++m_coverage.runs;
        m_coverage.retries += call.runs++ > 0 ? 1 : 0;
    }

    void recordError(const SendErrorResponse &error)
    {
        const Call &call = m_calls.at(static_cast<std::uint64_t>(error.call));
        m_coverage.rejectedOnArrival += error.kind == ErrorKind::Unavailable && call.runs == 0 ? 1 : 0;
        m_coverage.rejectedAfterARun += error.kind == ErrorKind::Unavailable && call.runs > 0 ? 1 : 0;
        m_coverage.quarantined += error.kind == ErrorKind::Quarantined ? 1 : 0;
        m_coverage.badGateways += error.kind == ErrorKind::BadGateway ? 1 : 0;
        m_coverage.timeouts += error.kind == ErrorKind::TimedOut ? 1 : 0;
        recordAnswer(error.call, platform::encodeRefusal(error, call.request.attempt).status);
    }

    void recordAnswer(CallId number, int status)
    {
        Call &call = m_calls.at(static_cast<std::uint64_t>(number));
        RC_ASSERT(!call.isAnswered);
        call.isAnswered = true;
        if (statusesOfNotExecuted.contains(status)) {
            RC_ASSERT(call.unproven.empty());
        }
    }

    void arrive(std::uint8_t first, std::uint8_t second)
    {
        const std::uint64_t number = m_nextCall++;
        // Few different requests, so that the same one crashes several endpoints.
        const std::string route = first % 4 == 0 ? "/draft/" : "/order/";
        RequestArrived event = m_fixture.arrival(route + std::to_string(first % 3), number);
        event.request.deadline = std::chrono::milliseconds{100 + second * 20};
        if (first % 4 == 0) {
            event.request.pieces = {first % 8U};
        }
        m_calls[number].request = event.request;
        apply(event);
    }

    void respond(std::uint8_t first, std::uint8_t second)
    {
        const auto number = pickRun(first, [](const Run &run) { return !run.hasHead; });
        if (!number) {
            return;
        }
        Run &run = m_runs.at(*number);
        Call &call = m_calls.at(run.call);
        constexpr std::array statuses{200, 200, 201, 400, 408, 409, 421, 429, 500, 502, 503, 503};
        const int status = statuses.at(second % statuses.size());
        // The attempt that the response names: the request's, another one, or none.
        const unsigned named = second / 16 % 4;
        const bool namesOther = named == 2;
        const bool namesNone = named == 3;
        HttpHeaders headers{{"response-seal", "seal"}};
        if (!namesNone) {
            headers.emplace_back("attempt-id", namesOther ? "attempt-other" : call.request.attempt);
        }
        const bool hasHeader = second >= 128 && status >= 400;
        if (hasHeader) {
            headers.emplace_back("not-executed", "1");
        }
        // A response to another request says nothing of this one.
        const bool isProven = (hasHeader || status == 421) && !namesOther;
        if (isProven) {
            call.unproven.erase(*number);
        }
        m_coverage.promisesOfEndpoints += !isProven && !namesOther && statusesOfNotExecuted.contains(status) ? 1 : 0;
        run.hasHead = true;
        apply(RunHeadReceived{*number, platform::decodeResponseHead(call.request, status, headers)});
        run.hasEnded = run.hasEnded || isProven;
    }

    void complete(std::uint8_t first)
    {
        // A few responses end before their headers.
        if (const auto number = pickRun(first, [first](const Run &run) { return run.hasHead || first > 240; })) {
            m_runs.at(*number).hasEnded = true;
            apply(RunBodyReceived{*number, "body"});
            apply(RunCompleted{*number});
        }
    }

    void fail(std::uint8_t first, std::uint8_t second)
    {
        const auto number = pickRun(first, [](const Run &) { return true; });
        if (!number) {
            return;
        }
        Run &run = m_runs.at(*number);
        run.hasEnded = true;
        const bool isConnectFailure = !run.hasHead && second % 3 == 0;
        if (isConnectFailure) {
            m_calls.at(run.call).unproven.erase(*number);
        }
        apply(RunFailed{*number, isConnectFailure ? RunFailure::ConnectFailed : RunFailure::Broken});
    }

    /*! @brief An endpoint starts again under its name, drains, or leaves the list or returns to it. */
    void changeEndpoint(std::uint8_t first, std::uint8_t second)
    {
        EndpointRecord &record = m_records.at(first % m_records.size());
        if (second % 4 == 0) {
            record.draining = !record.draining;
        } else if (second % 8 == 1) {
            record.isEvacuated = !record.isEvacuated;
        } else {
            ++record.incarnation;
            record.draining = false;
        }
        list();
    }

    /*! @brief An endpoint crashes under its runs, is found stopped, and starts again under its name. */
    void crash(std::uint8_t first)
    {
        EndpointRecord &record = m_records.at(first % m_records.size());
        for (const auto &[number, run] : std::map{m_runs}) {
            if (run.instance == record.instance && !m_runs.at(number).hasEnded) {
                m_runs.at(number).hasEnded = true;
                apply(RunFailed{number, RunFailure::Broken});
            }
        }
        std::erase(m_checks, record.instance);
        apply(EndpointChecked{record.instance, EndpointState::Stopped});
        ++record.incarnation;
        record.draining = false;
        list();
    }

    void list()
    {
        apply(EndpointsChanged{std::make_shared<const EndpointList>(m_records)});
    }

    /*! @brief An endpoint announces a drain, a pause or a limit of its requests. */
    void announce(std::uint8_t first, std::uint8_t second)
    {
        EndpointResponded event{m_records.at(first % m_records.size()).instance, {}};
        if (second % 4 == 0) {
            event.notice.isDraining = true;
        } else if (second % 4 == 1) {
            event.notice.pause = std::chrono::milliseconds{second * 4};
        } else {
            event.notice.limit = LimitNotice{second % 4 == 2 ? std::optional{second / 32.0 + 0.5} : std::nullopt};
        }
        apply(event);
    }

    void check(std::uint8_t first, std::uint8_t second)
    {
        if (m_checks.empty()) {
            return;
        }
        const auto at = m_checks.begin() + first % static_cast<std::ptrdiff_t>(m_checks.size());
        const InstanceName instance = *at;
        m_checks.erase(at);
        constexpr std::array states{EndpointState::Stopped, EndpointState::Stopped, EndpointState::Running,
                                    EndpointState::Unknown};
        apply(EndpointChecked{instance, states.at(second % states.size())});
    }

    void endStageCall(std::uint8_t first, std::uint8_t second)
    {
        if (m_stageCalls.empty()) {
            return;
        }
        const auto at = m_stageCalls.begin() + first % static_cast<std::ptrdiff_t>(m_stageCalls.size());
        const auto [number, items] = *at;
        m_stageCalls.erase(at);
        constexpr std::array statuses{StageCallStatus::Answered,      StageCallStatus::Answered,
                                      StageCallStatus::Answered,      StageCallStatus::Rejected,
                                      StageCallStatus::ConnectFailed, StageCallStatus::Broken};
        StageCallEnded event{number, statuses.at(second % statuses.size()), {}};
        for (std::size_t item = 0; event.status == StageCallStatus::Answered && item < items; ++item) {
            event.results.push_back({"h-" + std::to_string(m_nextHandle++), PieceFailure::None});
        }
        apply(event);
    }

    void disconnect(std::uint8_t first)
    {
        std::vector<std::uint64_t> waiting;
        for (const auto &[number, call] : m_calls) {
            if (!call.isAnswered && !call.isDisconnected) {
                waiting.push_back(number);
            }
        }
        if (!waiting.empty()) {
            const std::uint64_t number = waiting[first % waiting.size()];
            m_calls.at(number).isDisconnected = true;
            apply(CallerDisconnected{CallId{number}});
        }
    }

    /*! @brief Returns a run in progress, or sometimes one that was cancelled and whose events are still under way. */
    template <typename Accepts>
    [[nodiscard]] std::optional<RunNumber> pickRun(std::uint8_t choice, Accepts accepts) const
    {
        std::vector<RunNumber> found;
        for (const auto &[number, run] : m_runs) {
            if ((!run.hasEnded || choice % 16 == 15) && accepts(run)) {
                found.push_back(number);
            }
        }
        return found.empty() ? std::nullopt : std::optional{found[choice % found.size()]};
    }

    Coverage &m_coverage;
    ServingFixture m_fixture;
    EndpointList m_records{*ServingFixture::endpoints()};
    std::map<std::uint64_t, Call> m_calls;
    std::map<RunNumber, Run> m_runs;
    std::vector<InstanceName> m_checks;
    std::vector<std::pair<StageCallNumber, std::size_t>> m_stageCalls;
    std::uint64_t m_nextCall{1};
    std::uint64_t m_nextHandle{1};
};

} // namespace

/*! @brief A request that must not run twice is answered with a promise that it has not run only if that is true. */
class NotExecutedTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(NotExecutedTest);
    CPPUNIT_TEST(promiseThatARequestHasNotRunIsTrue);
    CPPUNIT_TEST_SUITE_END();

public:
    /*! @brief Guards against a second execution, by a retry of this process or of a caller that trusts the promise. */
    void promiseThatARequestHasNotRunIsTrue()
    {
        Coverage coverage;
        test::checkProperty(
            [&coverage] {
                const auto byte = rc::gen::inRange<int>(0, 256);
                const auto toByte = [](int value) {
                    return static_cast<std::uint8_t>(value);
                };
                const auto steps = *rc::gen::container<std::vector<Step>>(
                    rc::gen::tuple(rc::gen::map(rc::gen::inRange<int>(0, 17), toByte), rc::gen::map(byte, toByte),
                                   rc::gen::map(byte, toByte)));
                Driver driver{coverage};
                for (const Step &step : steps) {
                    driver.take(step);
                }
                driver.finish();
            },
            1, 2000);
        // Sequences that do not reach these situations would prove nothing.
        CPPUNIT_ASSERT(coverage.runs > 0);
        CPPUNIT_ASSERT(coverage.retries > 0);
        CPPUNIT_ASSERT(coverage.rejectedOnArrival > 0);
        CPPUNIT_ASSERT(coverage.rejectedAfterARun > 0);
        CPPUNIT_ASSERT(coverage.quarantined > 0);
        CPPUNIT_ASSERT(coverage.badGateways > 0);
        CPPUNIT_ASSERT(coverage.timeouts > 0);
        CPPUNIT_ASSERT(coverage.promisesOfEndpoints > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NotExecutedTest);
