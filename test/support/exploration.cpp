#include "support/exploration.h"

#include "support/describe.h"

#include <xxhash.h>

#include <algorithm>
#include <random>
#include <sstream>

namespace bergamottide::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const char *const keyDigest = "caller";

InstanceName entryName(std::size_t index)
{
    return InstanceName{"entry-" + std::to_string(index)};
}

InstanceName sideName(std::size_t index)
{
    return InstanceName{"side-" + std::to_string(index)};
}

/*! @brief Two pipelines over one pool of two: one stage that must not be repeated, and one stage more before it. */
std::shared_ptr<const Document> smallDocument()
{
    auto document = std::make_shared<Document>();
    document->version = 1;
    const PoolName pool{"orders"};
    document->pools[pool] = Pool{pool, PoolKind::Service, 2};
    const Stage prepare{StageName{"prepare"}, pool, Repeatable::Yes, milliseconds{20}};
    const Stage commit{StageName{"commit"}, pool, Repeatable::No, milliseconds{60}};
    const Stage look{StageName{"look"}, pool, Repeatable::Yes, milliseconds{40}};
    const auto pipeline = [&](const char *name, std::vector<Stage> stages) {
        document->pipelines[PipelineName{name}] = Pipeline{PipelineName{name}, std::move(stages)};
    };
    pipeline("order", {commit});
    pipeline("report", {prepare, commit});
    pipeline("lookup", {prepare, look});
    const WorkspaceName workspace{"pour"};
    document->workspaces[workspace] = Workspace{workspace, 1.0, {keyDigest}};
    for (const auto &[name, one] : document->pipelines) {
        document->bindings.push_back({workspace, name});
    }
    return document;
}

Fleet smallFleet(const Case &one)
{
    Fleet fleet;
    fleet.document = smallDocument();
    fleet.seed = one.seed;
    for (std::size_t index = 0; index < 2; ++index) {
        const ZoneName zone{"zone-" + std::to_string(index)};
        fleet.members.push_back({{entryName(index), Role::Entry, RegionName{"region"}, zone}, {}, {}});
        const Instance side{sideName(index), Role::Sidecar, RegionName{"region"}, zone, {}, PoolName{"orders"}};
        fleet.members.push_back({side, {2, milliseconds{1}, 0.0}, {}});
    }
    return fleet;
}

/*! @brief Runs one case: callers, faults and the checker around the harness. */
class CaseRunner
{
public:
    CaseRunner(const Case &one, const Chooser &choose, bool traced, std::unordered_set<std::uint64_t> *states)
        : m_case{one}
        , m_choose{choose}
        , m_states{states}
        , m_harness{smallFleet(one), hooks(traced)}
    {
    }

    CaseResult run()
    {
        m_harness.setViewLag(entryName(0), m_case.viewLag);
        for (const CallerPlan &plan : m_case.callers) {
            prepare(plan);
        }
        planLeaving();
        m_harness.at(m_case.start + faultsFor, [this] { m_calm = true; });
        m_harness.at(m_case.start + lastFetchAfter, [this] { fetchLeftOver(); });
        m_harness.run(m_case.start + length);
        m_checker.finish();
        m_result.violations.insert(m_result.violations.end(), m_checker.violations().begin(),
                                   m_checker.violations().end());
        m_result.outcomes = m_checker.outcomes();
        return std::move(m_result);
    }

private:
    /*! @brief Faults begin only this long after the start; by `lastFetchAfter` all have ended. */
    static constexpr Duration faultsFor = milliseconds{4500};
    static constexpr Duration lastFetchAfter = milliseconds{14'500};
    static constexpr Duration length = seconds{38};
    static constexpr Duration faultLead = seconds{1};
    static constexpr Duration restartAfter = milliseconds{300};
    static constexpr Duration pauseLength = milliseconds{2500};
    static constexpr Duration deadline = seconds{4};

    /*! @brief What a caller knows and what is true of its request. */
    struct Caller
    {
        CallerPlan plan;
        Truth truth;
        std::optional<Ticket> ticket;
        std::size_t entry{};
        std::optional<CallId> call;
        std::uint32_t tries{};
        bool completed{};
        bool stopped{};
        /*! @brief Side at which the last stage ended well, and its life then. */
        std::optional<std::pair<InstanceName, std::uint32_t>> finishedAt;
    };

    Hooks hooks(bool traced)
    {
        Hooks made;
        made.caller = [this](const InstanceName &, const EntryEffect &effect) {
            onTold(effect);
        };
        made.started = [this](const InstanceName &side, const StartEndpointRun &start) {
            m_checker.started(side, start, m_harness.now());
        };
        made.ended = [this](const InstanceName &side, const RunId &run, EndpointResult result, double) {
            onEnded(side, run, result);
        };
        made.work = [](const StartEndpointRun &start) {
            return start.spec.stage == StageName{"commit"} ? 60.0 : 20.0;
        };
        made.route = [this](const InstanceName &from, const InstanceName &to, const Message &message) {
            return route(from, to, message);
        };
        made.before = [this](const InstanceName &name, std::string_view what) {
            beforeEvent(name, what);
        };
        if (traced) {
            made.trace = [this](const std::string &line) {
                m_result.trace.push_back(line);
            };
        }
        return made;
    }

    void note(const std::string &line)
    {
        m_result.trace.push_back(std::to_string(m_harness.now().count()) + " " + line);
    }

    std::size_t choose(std::size_t alternatives)
    {
        if (m_calm || m_harness.now() < m_case.start - faultLead) {
            return 0;
        }
        ++m_result.points;
        if (m_states != nullptr) {
            m_states->insert(m_state);
        }
        const auto chosen = m_choose(alternatives);
        m_result.faults += chosen > 0 ? 1 : 0;
        return chosen;
    }

    std::vector<Duration> route(const InstanceName &from, const InstanceName &to, const Message &message)
    {
        const bool plain = std::holds_alternative<LoadReport>(message) || std::holds_alternative<Hello>(message)
            || std::holds_alternative<Ping>(message) || std::holds_alternative<Pong>(message);
        if (plain && !m_case.everyFault) {
            return {Duration{}};
        }
        switch (choose(m_case.everyFault ? 7 : 4)) {
        case 1:
            return {};
        case 2:
            return {Duration{}, milliseconds{40}};
        case 3:
            return {milliseconds{700}};
        case 4:
            return {milliseconds{5}, seconds{3}};
        case 5:
            m_harness.silence(from, to);
            return {};
        case 6:
            m_harness.cut(from, to, milliseconds{1700});
            return {};
        default:
            return {Duration{}};
        }
    }

    void beforeEvent(const InstanceName &name, std::string_view what)
    {
        remember(name, what);
        const bool message = what.find(" > ") != std::string_view::npos && what.find("LoadReport") == what.npos;
        if (!message && !(m_case.everyFault && what != "document" && what != "view")) {
            return;
        }
        const bool side = name.text().starts_with("side");
        switch (choose(side ? 4 : 3)) {
        case 1:
            crash(name);
            break;
        case 2:
            m_harness.pause(name, pauseLength);
            break;
        case 3:
            m_harness.crashEndpoint(name);
            break;
        default:
            break;
        }
    }

    /*! @brief A state is what each process has seen and when; its reducer is a function of just that. */
    void remember(const InstanceName &name, std::string_view what)
    {
        if (m_states == nullptr) {
            return;
        }
        std::uint64_t &history = m_histories[name];
        m_state -= history;
        const auto time = static_cast<std::uint64_t>(m_harness.now().count());
        history = XXH3_64bits_withSeed(what.data(), what.size(), history ^ (time * 0x9e3779b97f4a7c15ULL));
        m_state += history;
    }

    void crash(const InstanceName &name)
    {
        ++m_lives[name];
        m_checker.entryLost(name);
        m_harness.crash(name);
        m_harness.at(m_harness.now() + restartAfter, [this, name] { m_harness.restart(name); });
        for (Caller &caller : m_callers) {
            if (caller.call && entryName(caller.entry) == name) {
                caller.call.reset();
                retryLater(caller);
            }
        }
    }

    void prepare(const CallerPlan &plan)
    {
        Caller caller{plan};
        caller.entry = plan.entry;
        caller.truth.request = RequestId{7, plan.request};
        caller.truth.body = "body of " + std::to_string(plan.request);
        const auto document = smallDocument();
        for (const Stage &stage : document->pipelines.at(plan.pipeline).stages) {
            caller.truth.stages.push_back(stage.name);
            caller.truth.onceOnly = plan.nonIdempotent || stage.repeatable == Repeatable::No;
        }
        m_checker.expect(caller.truth);
        m_callers.push_back(caller);
        const auto index = m_callers.size() - 1;
        m_harness.at(m_case.start + plan.at, [this, index] { submit(m_callers[index]); });
        if (plan.cancelAfter > Duration{}) {
            m_harness.at(m_case.start + plan.at + plan.cancelAfter, [this, index] { cancel(m_callers[index]); });
        }
        if (plan.goneAfter > Duration{}) {
            m_harness.at(m_case.start + plan.at + plan.goneAfter, [this, index] { hangUp(m_callers[index]); });
        }
        if (plan.repeatAfter > Duration{}) {
            m_harness.at(m_case.start + plan.at + plan.repeatAfter, [this, index] { repeat(m_callers[index]); });
        }
    }

    /*! @brief Makes a call; returns nothing while the entry is down, as a caller finds out at once. */
    std::optional<CallId> open(const Caller &caller, std::size_t entry)
    {
        if (!m_harness.isUp(entryName(entry))) {
            return std::nullopt;
        }
        const CallId call{++m_lastCall};
        m_checker.called(call, caller.truth.request, entryName(entry), m_harness.now());
        return call;
    }

    [[nodiscard]] CallerSubmitted submission(const Caller &caller, CallId call) const
    {
        CallerSubmitted submitted{call, caller.truth.request, caller.plan.keyed, keyDigest, caller.plan.pipeline};
        submitted.deadline = deadline;
        submitted.nonIdempotent = caller.plan.nonIdempotent;
        submitted.wantsTicket = caller.plan.wantsTicket;
        submitted.streaming = caller.plan.streaming;
        submitted.body = caller.truth.body;
        submitted.ticket = caller.ticket;
        return submitted;
    }

    void submit(Caller &caller)
    {
        caller.call = open(caller, caller.entry);
        if (!caller.call) {
            retryLater(caller);
            return;
        }
        note("a caller submits " + std::to_string(caller.plan.request) + " to " + entryName(caller.entry).text());
        m_harness.toEntry(entryName(caller.entry), submission(caller, *caller.call));
    }

    void fetch(Caller &caller)
    {
        caller.call = open(caller, caller.entry);
        if (!caller.call) {
            retryLater(caller);
            return;
        }
        note("a caller fetches " + std::to_string(caller.plan.request) + " from " + entryName(caller.entry).text());
        m_harness.toEntry(entryName(caller.entry),
                          FetchRequested{*caller.call, keyDigest, *caller.ticket, 0, caller.plan.streaming, deadline});
    }

    void cancel(Caller &caller)
    {
        if (!caller.ticket || !m_harness.isUp(entryName(caller.entry))) {
            return;
        }
        caller.stopped = true;
        const auto call = open(caller, caller.entry);
        note("a caller cancels " + std::to_string(caller.plan.request));
        m_harness.toEntry(entryName(caller.entry), CancelRequested{*call, keyDigest, *caller.ticket});
    }

    void hangUp(Caller &caller)
    {
        caller.stopped = true;
        if (!caller.call) {
            return;
        }
        note("a caller hangs up on " + std::to_string(caller.plan.request));
        m_checker.callLost(*caller.call);
        m_harness.toEntry(entryName(caller.entry), CallerGone{*caller.call});
        caller.call.reset();
    }

    void repeat(Caller &caller)
    {
        const auto other = 1 - caller.plan.entry;
        const auto call = open(caller, other);
        if (!call) {
            return;
        }
        note("a caller repeats " + std::to_string(caller.plan.request) + " at " + entryName(other).text());
        auto submitted = submission(caller, *call);
        submitted.ticket.reset();
        m_harness.toEntry(entryName(other), submitted);
    }

    void retryLater(Caller &caller)
    {
        const auto index = static_cast<std::size_t>(&caller - m_callers.data());
        if (caller.stopped || ++caller.tries > 5 || !caller.ticket || caller.plan.afterLoss == AfterLoss::GiveUp) {
            return;
        }
        caller.entry = 1 - caller.entry;
        m_harness.at(m_harness.now() + milliseconds{150}, [this, index] {
            Caller &again = m_callers[index];
            if (again.call || again.completed) {
                return;
            }
            again.plan.afterLoss == AfterLoss::Fetch ? fetch(again) : submit(again);
        });
    }

    void onTold(const EntryEffect &effect)
    {
        m_checker.told(effect, m_harness.now());
        if (const auto *told = std::get_if<SendTicket>(&effect)) {
            for (Caller &caller : m_callers) {
                if (caller.truth.request == told->ticket.request) {
                    caller.ticket = told->ticket;
                }
            }
        }
        const auto *answer = std::get_if<SendAnswer>(&effect);
        if (answer == nullptr) {
            return;
        }
        for (Caller &caller : m_callers) {
            caller.completed |= caller.truth.request == answer->request && answer->outcome == Outcome::Completed;
            if (caller.call != answer->call) {
                continue;
            }
            caller.call.reset();
            if (answer->ticket) {
                caller.ticket = answer->ticket;
            }
            if (answer->outcome == Outcome::Unknown) {
                retryLater(caller);
            }
        }
    }

    void onEnded(const InstanceName &side, const RunId &run, EndpointResult result)
    {
        for (Caller &caller : m_callers) {
            const bool last = run.request == caller.truth.request && run.stage + 1 == caller.truth.stages.size();
            if (last && result == EndpointResult::Completed) {
                caller.finishedAt = {side, m_lives[side]};
            }
        }
    }

    /*! @brief Asks once more for every answer that should still be kept; none of them may be lost. */
    void fetchLeftOver()
    {
        for (Caller &caller : m_callers) {
            const bool kept = caller.finishedAt && caller.finishedAt->second == m_lives[caller.finishedAt->first];
            if (!kept || caller.completed || caller.stopped || !caller.ticket || caller.call
                || caller.finishedAt->first != caller.ticket->home || m_case.leaving != Case::Leaving::None) {
                continue;
            }
            caller.tries = 10;
            caller.entry = 1;
            fetch(caller);
        }
        m_harness.at(m_harness.now() + seconds{5}, [this] { checkLeftOver(); });
    }

    void checkLeftOver()
    {
        for (const Caller &caller : m_callers) {
            if (caller.tries == 10 && !caller.completed) {
                m_checker.violate("request " + std::to_string(caller.plan.request)
                                  + " finished at a home that is up, but its answer was lost");
            }
        }
    }

    /*! @brief The platform stops an instance: a signal to the process if it is up, and a line of the list. */
    void planLeaving()
    {
        if (m_case.leaving == Case::Leaving::None) {
            return;
        }
        const Duration at = m_case.start + milliseconds{700};
        const Duration listed = m_case.leaving == Case::Leaving::Listed ? at : at + seconds{1};
        m_harness.at(listed, [this] {
            m_checker.leaving(sideName(0), m_harness.now());
            m_harness.announceLeaving(sideName(0));
        });
        m_harness.at(at, [this] {
            if (m_case.leaving == Case::Leaving::Listed || !m_harness.isUp(sideName(0))) {
                return;
            }
            note("side-0 is told to leave");
            m_checker.leaving(sideName(0), m_harness.now());
            m_harness.toSide(sideName(0), DrainRequested{"signal"});
        });
    }

    Case m_case;
    Chooser m_choose;
    std::unordered_set<std::uint64_t> *m_states;
    Checker m_checker;
    CaseResult m_result;
    std::vector<Caller> m_callers;
    std::map<InstanceName, std::uint32_t> m_lives;
    std::uint64_t m_lastCall{};
    std::map<InstanceName, std::uint64_t> m_histories;
    std::uint64_t m_state{};
    bool m_calm{};
    Harness m_harness;
};

} // namespace

CaseResult runCase(const Case &one, const Chooser &choose, bool traced, std::unordered_set<std::uint64_t> *states)
{
    return CaseRunner{one, choose, traced, states}.run();
}

Case caseOfSeed(std::uint64_t seed)
{
    std::mt19937_64 random{seed * 0x9e3779b97f4a7c15ULL + 1};
    const auto draw = [&](std::uint64_t below) {
        return random() % below;
    };
    const std::array<const char *, 3> pipelines{"order", "report", "lookup"};
    Case one;
    one.seed = seed;
    one.everyFault = true;
    one.viewLag = milliseconds{draw(4) == 0 ? 1500 : draw(50)};
    // Sides that have been up for long enough serve keyed requests; those just started refuse them.
    one.start = draw(2) == 0 ? milliseconds{1500} : seconds{40};
    one.leaving = static_cast<Case::Leaving>(std::max<std::uint64_t>(draw(6), 3) - 3);
    const auto count = 1 + draw(5);
    for (std::uint64_t index = 1; index <= count; ++index) {
        CallerPlan plan{index, draw(2), milliseconds{draw(2000)}, PipelineName{pipelines.at(draw(3))}};
        plan.nonIdempotent = draw(2) == 0;
        plan.keyed = draw(3) == 0;
        plan.wantsTicket = draw(2) == 0;
        plan.streaming = draw(3) == 0;
        plan.afterLoss = static_cast<AfterLoss>(draw(3));
        plan.cancelAfter = milliseconds{draw(6) == 0 ? 1 + draw(300) : 0};
        plan.goneAfter = milliseconds{draw(8) == 0 ? 1 + draw(300) : 0};
        plan.repeatAfter = milliseconds{plan.keyed && draw(2) == 0 ? 1 + draw(1000) : 0};
        one.callers.push_back(plan);
    }
    return one;
}

CaseResult runSeed(std::uint64_t seed, bool traced)
{
    constexpr std::array<std::uint64_t, 4> rates{400, 150, 50, 15};
    const auto random = std::make_shared<std::mt19937_64>(seed);
    const auto rate = rates.at(seed % rates.size());
    const Chooser choose = [random, rate](std::size_t alternatives) -> std::size_t {
        return (*random)() % rate == 0 ? 1 + (*random)() % (alternatives - 1) : 0;
    };
    return runCase(caseOfSeed(seed), choose, traced);
}

Case smallestCase(AfterLoss afterLoss)
{
    Case one;
    CallerPlan plan{1, 0, Duration{}, PipelineName{"order"}};
    plan.nonIdempotent = true;
    plan.wantsTicket = true;
    plan.afterLoss = afterLoss;
    one.callers.push_back(plan);
    return one;
}

namespace {

/*! @brief Faults of one run, by the place at which each is chosen. */
using Placement = std::map<std::uint64_t, std::size_t>;

std::string write(const Placement &placement)
{
    std::string text;
    for (const auto &[place, alternative] : placement) {
        text += (text.empty() ? "" : ",") + std::to_string(place) + ":" + std::to_string(alternative);
    }
    return text;
}

CaseResult runPlaced(const Case &one, const Placement &placement, bool traced, std::vector<std::size_t> *alternatives,
                     std::unordered_set<std::uint64_t> *states)
{
    std::uint64_t place = 0;
    const Chooser choose = [&](std::size_t count) -> std::size_t {
        if (alternatives != nullptr) {
            alternatives->push_back(count);
        }
        const auto found = placement.find(place++);
        return found == placement.end() ? 0 : found->second;
    };
    return runCase(one, choose, traced, states);
}

} // namespace

ExhaustiveResult exploreAll(const Case &one, std::uint32_t faults, std::size_t shard, std::size_t shards)
{
    ExhaustiveResult total;
    std::unordered_set<std::uint64_t> states;
    std::vector<Placement> open{{}};
    while (!open.empty()) {
        const Placement placement = std::move(open.back());
        open.pop_back();
        std::vector<std::size_t> alternatives;
        CaseResult result = runPlaced(one, placement, false, &alternatives, &states);
        ++total.runs;
        total.points += result.points;
        for (const auto &[outcome, count] : result.outcomes) {
            total.outcomes[outcome] += count;
        }
        if (!result.violations.empty() && ++total.failed == 1) {
            total.failing = write(placement);
            total.failure = std::move(result);
        }
        if (placement.size() >= faults) {
            continue;
        }
        const auto from = placement.empty() ? 0 : placement.rbegin()->first + 1;
        for (auto place = from; place < alternatives.size(); ++place) {
            if (placement.empty() && place % shards != shard) {
                continue;
            }
            for (std::size_t alternative = 1; alternative < alternatives[place]; ++alternative) {
                open.push_back(placement);
                open.back()[place] = alternative;
            }
        }
    }
    total.states = states.size();
    return total;
}

CaseResult replay(const Case &one, const std::string &choices)
{
    Placement placement;
    std::istringstream text{choices};
    for (std::string item; std::getline(text, item, ',');) {
        const auto colon = item.find(':');
        placement[std::stoull(item.substr(0, colon))] = std::stoull(item.substr(colon + 1));
    }
    return runPlaced(one, placement, true, nullptr, nullptr);
}

} // namespace bergamottide::test
