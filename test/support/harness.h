#pragma once

#include "bergamottide/entry/entryreducer.h"
#include "bergamottide/sidecar/sidecarreducer.h"
#include "support/fakeendpoint.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace bergamottide::test {

/*! @brief A reducer behind hooks, so that the real ones and the naive baseline run in the same harness. */
template <typename Event, typename Effects>
struct Logic
{
    std::function<Effects(const Event &, TimePoint)> apply;
    std::function<std::optional<TimePoint>()> nextWakeup;
    std::function<std::size_t()> inProgress;
};

using EntryLogic = Logic<EntryEvent, EntryEffects>;
using SideLogic = Logic<SidecarEvent, SidecarEffects>;

/*! @brief Makes the logic of each process, also at each restart. */
struct LogicFactory
{
    std::function<EntryLogic(const EntryIdentity &)> entry;
    std::function<SideLogic(const SidecarIdentity &)> side;
};

/*! @brief Returns the factory of the real reducers. */
[[nodiscard]] LogicFactory realLogic();

/*! @brief One process of the fleet under test; a side brings its endpoint along. */
struct Member
{
    Instance instance;
    ServiceLaw law;
    std::vector<ModelName> models;
};

/*! @brief The fleet under test. */
struct Fleet
{
    std::shared_ptr<const Document> document;
    std::vector<Member> members;
    /*! @brief One way, within an availability zone, between zones of a region, and between regions. */
    Duration zoneLatency{500};
    Duration crossZoneLatency{1500};
    Duration crossRegionLatency{40'000};
    /*! @brief Age of what an endpoint tells of its own load. */
    Duration reportLag{std::chrono::milliseconds{100}};
    std::uint64_t seed{1};
    LogicFactory logic{realLogic()};
};

/*! @brief What the harness tells of; each hook may be empty. */
struct Hooks
{
    /*! @brief An entry told a caller its ticket, a piece or the answer. */
    std::function<void(const InstanceName &, const EntryEffect &)> caller;
    /*! @brief A run was handed to an endpoint. */
    std::function<void(const InstanceName &, const StartEndpointRun &)> started;
    /*! @brief A run has ended at an endpoint; the number is the work done for it, in units. */
    std::function<void(const InstanceName &, const RunId &, EndpointResult, double)> ended;
    /*! @brief An entry or a side counted something. */
    std::function<void(const InstanceName &, const Observe &)> observed;
    /*! @brief Work that a run will take, in units; the size the entry has estimated when empty. */
    std::function<double(const StartEndpointRun &)> work;
    /*! @brief Extra delays with which a message arrives: none loses it, two repeat it. */
    std::function<std::vector<Duration>(const InstanceName &, const InstanceName &, const Message &)> route;
    /*! @brief Called before each event of a process. */
    std::function<void(const InstanceName &, std::string_view)> before;
    /*! @brief Takes lines of the trace. */
    std::function<void(const std::string &)> trace;
};

/**
 * @brief Runs reducers, links and fake endpoints under one virtual clock, on one thread.
 *
 * Not a simulator of a fleet: it knows only time, messages, processes that stop and go on,
 * and endpoints that take their time. The same calls give the same run.
 */
class Harness
{
public:
    /**
     * @brief Starts every process of a fleet at time zero.
     * @param fleet Processes, links and logic.
     * @param hooks What to tell of.
     */
    Harness(Fleet fleet, Hooks hooks);

    /*! @brief Returns the virtual time since the start. */
    [[nodiscard]] Duration now() const noexcept;

    /*! @brief Calls back at a time. */
    void at(Duration time, std::function<void()> action);

    /*! @brief Runs up to a time. */
    void run(Duration until);

    /*! @brief Hands an event to an entry; dropped while it is down, late while it is paused. */
    void toEntry(const InstanceName &entry, EntryEvent event);

    /*! @brief Hands an event to a side; dropped while it is down, late while it is paused. */
    void toSide(const InstanceName &side, SidecarEvent event);

    /*! @brief Ends a process without notice; the runs of a side end with it. */
    void crash(const InstanceName &name);

    /*! @brief Starts a process anew, with a new incarnation. */
    void restart(const InstanceName &name);

    /*! @brief Stops a process for a while; what comes meanwhile waits. */
    void pause(const InstanceName &name, Duration length);

    /*! @brief Drops every message between two processes; streams break after a second, and return at the end. */
    void cut(const InstanceName &left, const InstanceName &right, Duration length);

    /*! @brief Lets the stream between two processes go silent for good; only a new stream works again. */
    void silence(const InstanceName &left, const InstanceName &right);

    /*! @brief Ends all runs of an endpoint with a failure. */
    void crashEndpoint(const InstanceName &side);

    /*! @brief Returns the endpoint beside a side, to slow it down or let it fail. */
    [[nodiscard]] FakeEndpoint &endpoint(const InstanceName &side);

    /*! @brief Makes the endpoint beside a side go on after its state was changed. */
    void wakeEndpoint(const InstanceName &side);

    /*! @brief Stops or lets pass the reports of all endpoints and sides. */
    void holdReports(bool hold, Duration lag = Duration{});

    /*! @brief Announces in the instance list that an instance leaves; each process hears of it after its own lag. */
    void announceLeaving(const InstanceName &name);

    /*! @brief Sets the lag with which a process hears of the instance list and the document. */
    void setViewLag(const InstanceName &name, Duration lag);

    /*! @brief Publishes a document to every process. */
    void publish(std::shared_ptr<const Document> document);

    /*! @brief Returns the time on the clock of a process. */
    [[nodiscard]] TimePoint localTime(const InstanceName &name) const;

    /*! @brief Tells whether the fleet has a process of that name. */
    [[nodiscard]] bool knows(const InstanceName &name) const;

    /*! @brief Tells whether a process is up. */
    [[nodiscard]] bool isUp(const InstanceName &name) const;

    /*! @brief Returns the requests or runs that a process has in progress. */
    [[nodiscard]] std::size_t inProgress(const InstanceName &name) const;

    /*! @brief Returns the names of the processes of a role. */
    [[nodiscard]] std::vector<InstanceName> names(Role role) const;

    /*! @brief Returns events handled so far. */
    [[nodiscard]] std::uint64_t handled() const noexcept;

private:
    /*! @brief State of the stream between an entry and a side. */
    enum class Link : std::uint8_t
    {
        Down,
        Up,
        Silent,
        Cut
    };

    struct Process
    {
        Member member;
        EntryLogic entry;
        SideLogic side;
        FakeEndpoint endpoint{ServiceLaw{}};
        bool up{};
        std::uint64_t life{};
        Duration skew{};
        Duration viewLag{};
        Duration resumeAt{};
        std::deque<std::function<void()>> held;
        std::optional<Duration> wake;
        std::optional<Duration> endpointWake;
    };

    struct Pending
    {
        Duration time{};
        std::uint64_t order{};
        std::function<void()> action;
    };

    struct Later
    {
        [[nodiscard]] bool operator()(const Pending &left, const Pending &right) const
        {
            return std::tie(left.time, left.order) > std::tie(right.time, right.order);
        }
    };

    using Pair = std::pair<InstanceName, InstanceName>;

    [[nodiscard]] static Pair pairOf(const InstanceName &left, const InstanceName &right);
    [[nodiscard]] Process &process(const InstanceName &name);
    [[nodiscard]] TimePoint localNow(const Process &process) const;
    [[nodiscard]] Duration latency(const Process &from, const Process &to) const;
    [[nodiscard]] std::vector<InstanceName> peersOf(const Process &process) const;
    void trace(const std::string &line) const;
    void boot(Process &process);
    void handle(const InstanceName &name, std::string_view what, std::function<void(Process &)> action);
    template <typename Event>
    void deliver(const InstanceName &name, std::string_view what, const Event &event);
    void applyEntry(Process &process, const EntryEvent &event);
    void applySide(Process &process, const SidecarEvent &event);
    void arm(Process &process);
    void onWake(const InstanceName &name, std::uint64_t life);
    void resume(const InstanceName &name);
    void renew(Process &process);
    void send(const Process &from, const SendMessage &message);
    void reopen(const Process &from, const InstanceName &peer);
    void linkUp(const InstanceName &left, const InstanceName &right);
    void linkDown(const InstanceName &left, const InstanceName &right);
    void startRun(Process &process, const StartEndpointRun &start);
    void cancelRun(Process &process, const CancelEndpointRun &cancel);
    void answerOrder(Process &process, const SendOrder &order);
    void advanceEndpoint(const InstanceName &name);
    void armEndpoint(Process &process);
    void reportLoad(const InstanceName &name, std::uint64_t life);
    void republish(const InstanceName &name, std::uint64_t life);

    Fleet m_fleet;
    Hooks m_hooks;
    std::mt19937_64 m_random;
    std::map<InstanceName, Process> m_processes;
    std::map<Pair, Link> m_links;
    std::shared_ptr<const InstanceView> m_view;
    std::priority_queue<Pending, std::vector<Pending>, Later> m_events;
    Duration m_now{};
    std::uint64_t m_order{};
    std::uint64_t m_handled{};
    bool m_reportsHeld{};
    Duration m_reportLag{};
};

} // namespace bergamottide::test
