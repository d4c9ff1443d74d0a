#include "bergamottide/net/httpclient.h"
#include "platform/callendpoint.h"
#include "platform/fakes.h"
#include "processes/platformprocesses.h"

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

using namespace bergamottide;
using namespace bergamottide::test;

namespace {

constexpr int statusUnavailable = 503;

} // namespace

/*! @brief A real process whose endpoints send some answers more than once. */
class RepeatedAnswersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RepeatedAnswersTest);
    CPPUNIT_TEST(requestsRunWithTheirOwnInputs);
    CPPUNIT_TEST(requestsRunWithTheirOwnInputsWithoutIdentities);
    CPPUNIT_TEST(refusedRequestsHaveNotRun);
    CPPUNIT_TEST(refusedRequestsHaveNotRunWithoutIdentities);
    CPPUNIT_TEST_SUITE_END();

public:
    /*! @brief Guards against a late second answer to a stage call taken for that of the next call (review/4). */
    void requestsRunWithTheirOwnInputs()
    {
        checkSeparate(Identities::Repeated);
    }

    void requestsRunWithTheirOwnInputsWithoutIdentities()
    {
        checkSeparate(Identities::OfCallersOnly);
    }

    /*! @brief Guards against a late second answer to a call taken for that of a request, such as a refusal (review/5).
     */
    void refusedRequestsHaveNotRun()
    {
        checkShared(Identities::Repeated);
    }

    void refusedRequestsHaveNotRunWithoutIdentities()
    {
        checkShared(Identities::OfCallersOnly);
    }

private:
    static constexpr std::uint64_t rounds = 20;
    static constexpr std::array repetitions{Repetition::Never, Repetition::WhileIdle, Repetition::BeforeNext,
                                            Repetition::TwiceBeforeNext, Repetition::CutBeforeNext};

    /*! @brief Sends requests whose stage and whose run are at two services. */
    void checkSeparate(Identities identities)
    {
        for (const Repetition repetition : repetitions) {
            CallEndpoint stage{repetition, RepeatedPaths::StageCalls, identities, false};
            CallEndpoint desk{Repetition::Never, RepeatedPaths::All, identities, false};
            FakeStore store{m_loop};
            publishStagedAndPlainShop(store, "cut");
            publishShopEndpoint(store, "desk-1", desk.server().address());
            publishStageEndpoint(store, stage.server().address());
            check(store, stage, desk, absl::StrCat("separate, repetition ", static_cast<int>(repetition)));
        }
    }

    /*! @brief Sends requests to a service that runs their stages too, and refuses some calls. */
    void checkShared(Identities identities)
    {
        for (const Repetition repetition : repetitions) {
            CallEndpoint endpoint{repetition, RepeatedPaths::All, identities, true};
            FakeStore store{m_loop};
            publishStagedAndPlainShop(store, "desk");
            publishShopEndpoint(store, "desk-1", endpoint.server().address());
            check(store, endpoint, endpoint, absl::StrCat("shared, repetition ", static_cast<int>(repetition)));
        }
    }

    void check(const FakeStore &store, CallEndpoint &repeating, CallEndpoint &desk, const std::string &text)
    {
        PlatformProcesses processes{m_loop, store.address(), 1, {{"retrySlack", 1000}}};
        processes.start();
        std::map<std::string, int> statuses;
        for (std::uint64_t round = 0; round < rounds; ++round) {
            // Together, so that the connections of calls and requests may be exchanged.
            for (std::uint64_t number = 4 * round; number < 4 * round + 3; ++number) {
                send(processes, number, stagedShopRequest(number), statuses);
            }
            send(processes, 4 * round + 3, plainShopRequest(4 * round + 3), statuses);
            processes.runUntil([&statuses, round] { return statuses.size() == 4 * (round + 1); });
        }
        const auto runs = desk.runs();
        std::size_t served = 0;
        std::size_t untrue = 0;
        std::size_t foreign = 0;
        std::size_t twice = 0;
        for (const auto &[attempt, status] : statuses) {
            served += status == 200 ? 1 : 0;
            untrue += status == statusUnavailable && runs.contains(attempt) ? 1 : 0;
        }
        for (const auto &[attempt, inputs] : runs) {
            twice += inputs.size() > 1 ? 1 : 0;
            foreign += CallEndpoint::isOwnInput(attempt, inputs.front()) ? 0 : 1;
        }
        const std::string figures =
            absl::StrCat(text, ": ", served, " served, ", repeating.server().repeated(), " repeated, ", foreign,
                         " with foreign inputs, ", untrue, " refused that have run, ", twice, " twice");
        CPPUNIT_ASSERT_EQUAL_MESSAGE(figures, std::size_t{0}, foreign + untrue + twice);
        CPPUNIT_ASSERT_MESSAGE(figures, served >= rounds);
    }

    static std::string attemptName(std::uint64_t number)
    {
        return absl::StrCat("attempt-", number);
    }

    void send(PlatformProcesses &processes, std::uint64_t number, HttpRequest request,
              std::map<std::string, int> &statuses)
    {
        const std::string attempt = attemptName(number);
        HttpCallHooks hooks;
        hooks.done = [&statuses, attempt](const HttpResponse &answer) {
            statuses[attempt] = answer.status;
        };
        hooks.failed = [&statuses, attempt](HttpFailure) {
            statuses[attempt] = 0;
        };
        m_client.call(processes.callers(0), std::move(request), std::move(hooks), Connection::Fresh);
    }

    SystemClock m_clock;
    Loop m_loop{m_clock};
    HttpClient m_client{m_loop, HttpClientOptions{}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RepeatedAnswersTest);
