#pragma once

#include "bergamottide/app/peerwire.h"
#include "bergamottide/placement/random.h"
#include "bergamottide/serving/servingreducer.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bergamottide::test {

/*! @brief What a simulated fleet with one stage pool does. */
struct StageFleetOptions
{
    /*! @brief Endpoints of the stage pool report their pace, which switches the sharing on. */
    bool reportsPace{true};
    /*! @brief Process that gets heartbeats without waits, like one that hears nothing from the queue owner. */
    std::optional<std::size_t> withoutReports;
    std::uint64_t seed{1};
};

/*! @brief Requests of a workspace, by their outcome. */
struct WorkspaceResults
{
    std::size_t sent{};
    std::size_t onTime{};
    std::size_t late{};
    std::size_t rejectedOnArrival{};
    std::size_t rejectedLater{};

    [[nodiscard]] double onTimeFraction() const noexcept
    {
        return sent == 0 ? 0.0 : static_cast<double>(onTime) / static_cast<double>(sent);
    }
};

/**
 * @brief Simulates serving processes with a shared stage pool on a virtual clock; messages between them are encoded.
 *
 * The pool has 4 endpoints with one call at a time of up to 8 pieces: 139 pieces a second. A request has 2 pieces and
 * an objective of 1 s.
 */
class StageFleet
{
public:
    static constexpr std::size_t processCount = 3;
    /*! @brief Requests per second that the stage pool can serve: 4 endpoints, 8 pieces in 230 ms, 2 for each request.
     */
    static constexpr double capacity = 4 * 8 / 0.23 / 2;

    explicit StageFleet(const StageFleetOptions &options)
        : m_options{options}
        , m_random{options.seed}
    {
        for (std::size_t index = 0; index < processCount; ++index) {
            const std::string name = "entry-" + std::to_string(index);
            serving::ServingOptions serving;
            serving.self = {InstanceName{name}, name + ":1", 0.5, ZoneName{"a"}};
            serving.seeds = {"entry-0:1", "entry-1:1"};
            serving.incarnation = (index + 1) * incarnationStep;
            m_processes.push_back({serving.self, std::make_unique<serving::ServingReducer>(serving), true});
        }
        for (std::size_t index = 0; index < processCount; ++index) {
            apply(index, serving::CatalogChanged{catalog()});
            apply(index, serving::EndpointsChanged{endpoints()});
        }
        run(std::chrono::seconds{2}, {});
    }

    /*! @brief Runs the fleet while each workspace sends requests at its rate, in requests per second. */
    void run(Duration time, const std::map<std::string, double> &rates)
    {
        for (const TimePoint end = m_now + time; m_now < end; m_now += step) {
            while (!m_actions.empty() && m_actions.begin()->first <= m_now) {
                const auto action = std::move(m_actions.begin()->second);
                m_actions.erase(m_actions.begin());
                action();
            }
            for (const auto &[workspace, rate] : rates) {
                const double expected = rate * std::chrono::duration<double>(step).count();
                if (m_random.below(randomRange) < expected * randomRange) {
                    send(workspace);
                }
            }
            for (std::size_t process = 0; process < processCount; ++process) {
                if (m_processes[process].reducer->nextWakeup().value_or(TimePoint::max()) <= m_now) {
                    apply(process, serving::Tick{});
                }
            }
        }
    }

    /*! @brief Drains the owner of the stage pool's queue; callers send no further requests to it. */
    void drainQueueOwner()
    {
        m_processes[m_owner].takesRequests = false;
        apply(m_owner, serving::DrainRequested{});
    }

    /*! @brief Returns the process that sent the last stage call. */
    [[nodiscard]] std::size_t queueOwner() const noexcept
    {
        return m_owner;
    }

    [[nodiscard]] const WorkspaceResults &results(const std::string &workspace)
    {
        return m_results[workspace];
    }

    /*! @brief Returns the number of log lines with a text. */
    [[nodiscard]] std::size_t logLines(const std::string &text) const
    {
        const auto found = m_logLines.find(text);
        return found == m_logLines.end() ? 0 : found->second;
    }

    /*! @brief Returns the largest value of a gauge, or nothing if it was never set. */
    [[nodiscard]] std::optional<double> maxOf(Metric metric) const
    {
        const auto found = m_maxima.find(metric);
        return found == m_maxima.end() ? std::nullopt : std::optional{found->second};
    }

private:
    struct Process
    {
        serving::PeerInfo self;
        std::unique_ptr<serving::ServingReducer> reducer;
        bool takesRequests{};
    };

    struct Call
    {
        std::string workspace;
        TimePoint sentAt{};
    };

    static constexpr Duration step = std::chrono::milliseconds{5};
    static constexpr Duration networkDelay = std::chrono::milliseconds{1};
    static constexpr Duration objective = std::chrono::seconds{1};
    static constexpr Duration runTime = std::chrono::milliseconds{20};
    static constexpr std::uint32_t randomRange = 1'000'000;
    static constexpr std::uint64_t incarnationStep = 1U << 20U;
    static constexpr std::size_t encoders = 4;

    [[nodiscard]] static serving::BatchSpec batch()
    {
        constexpr std::uint64_t memory = 100'000'000;
        return {1, 8, std::chrono::milliseconds{150}, std::chrono::milliseconds{10}, memory, std::chrono::seconds{4}};
    }

    [[nodiscard]] static std::shared_ptr<const serving::Catalog> catalog()
    {
        using namespace serving;
        auto out = std::make_shared<Catalog>();
        out->version = 1;
        out->requiresApiKey = true;
        for (const char *name : {"large", "small-0", "small-1", "small-2", "small-3", "small-4"}) {
            out->workspaceByApiKey[name] = Workspace{WorkspaceName{name}, 0};
        }
        Route route;
        route.name = "work";
        route.host = "example";
        route.pathPrefix = "/work/";
        route.kind = RouteKind::Idempotent;
        route.timeout = std::chrono::seconds{3};
        route.objective = objective;
        route.pools = {{PoolName{"desk"}, 1}};
        route.stages.push_back({PoolName{"encoders"}, {}, 1000});
        out->routes.push_back(std::move(route));
        out->pools["desk"] = Pool{PoolName{"desk"}, 1000, {}, {}};
        out->pools["encoders"] = Pool{PoolName{"encoders"}, 100, batch(), {}};
        out->buildIndex();
        return out;
    }

    [[nodiscard]] static std::shared_ptr<const serving::EndpointList> endpoints()
    {
        constexpr std::uint32_t deskSlots = 1000;
        auto list = std::make_shared<serving::EndpointList>();
        list->push_back({InstanceName{"desk-1"}, PoolName{"desk"}, "desk-1:1", ZoneName{"a"}, deskSlots, false});
        for (std::size_t index = 0; index < encoders; ++index) {
            const std::string name = "encoder-" + std::to_string(index);
            list->push_back({InstanceName{name}, PoolName{"encoders"}, name + ":1", ZoneName{"a"}, 1, false});
        }
        return list;
    }

    void send(const std::string &workspace)
    {
        std::size_t process = m_random.below(processCount);
        while (!m_processes[process].takesRequests) {
            process = (process + 1) % processCount;
        }
        serving::CallerRequest request;
        request.call = CallId{m_nextNumber++};
        request.attempt = "attempt-" + std::to_string(static_cast<std::uint64_t>(request.call));
        request.method = "POST";
        request.host = "example";
        request.path = "/work/" + request.attempt;
        request.target = request.path;
        request.apiKey = workspace;
        request.deadline = std::chrono::seconds{3};
        request.pieces = {2};
        request.pieceKey = request.attempt;
        m_calls[request.call] = {workspace, m_now};
        ++m_results[workspace].sent;
        apply(process, serving::RequestArrived{std::move(request)});
    }

    void apply(std::size_t process, const serving::Event &event)
    {
        for (const serving::Effect &effect : m_processes[process].reducer->apply(event, m_now)) {
            std::visit([this, process](const auto &typed) { handle(process, typed); }, effect);
        }
    }

    void schedule(Duration delay, std::function<void()> action)
    {
        m_actions.emplace(m_now + delay, std::move(action));
    }

    void handle(std::size_t process, const serving::StartStageCall &start)
    {
        using namespace serving;
        m_owner = process;
        Duration time = networkDelay;
        StageCallEnded ended{start.call, StageCallStatus::Rejected, {}, {}};
        if (m_busyUntil[start.instance] <= m_now) {
            time = batch().callTime + batch().itemTime * static_cast<std::int64_t>(start.items.size());
            m_busyUntil[start.instance] = m_now + time;
            ended.status = StageCallStatus::Answered;
            for (std::size_t item = 0; item < start.items.size(); ++item) {
                ended.results.push_back({"h-" + std::to_string(m_nextNumber++), PieceFailure::None});
            }
        }
        EndpointNotice notice;
        notice.load = EndpointLoad{0, 0, 1, m_options.reportsPace ? std::optional{1.0} : std::nullopt};
        schedule(time, [this, process, ended, notice, instance = start.instance] {
            apply(process, EndpointResponded{instance, notice});
            apply(process, ended);
        });
    }

    void handle(std::size_t process, const serving::StartRun &start)
    {
        schedule(runTime, [this, process, run = start.run] {
            serving::EndpointResponseHead head;
            head.status = 200;
            head.isSigned = true;
            apply(process, serving::RunHeadReceived{run, head});
            apply(process, serving::RunCompleted{run});
        });
    }

    void handle(std::size_t process, const serving::DelegateTask &delegated)
    {
        const std::size_t to = processAt(delegated.peer.address);
        const serving::PeerTaskNumber number{m_nextNumber++};
        m_delegated[number] = {process, delegated.task.id};
        schedule(networkDelay, [this, to, number, text = peerwire::encode(delegated.task, m_now)] {
            if (m_delegated.contains(number)) {
                m_receivers[number] = to;
                apply(to, serving::PeerTaskArrived{number, *peerwire::decodeTask(text, m_now)});
            }
        });
    }

    void handle(std::size_t process, const serving::CancelDelegatedTask &cancelled)
    {
        const auto found = std::ranges::find_if(m_delegated, [process, &cancelled](const auto &item) {
            return item.second == std::pair{process, cancelled.task};
        });
        if (found == m_delegated.end()) {
            return;
        }
        const serving::PeerTaskNumber number = found->first;
        m_delegated.erase(found);
        if (const auto receiver = m_receivers.find(number); receiver != m_receivers.end()) {
            schedule(networkDelay,
                     [this, to = receiver->second, number] { apply(to, serving::PeerTaskCancelled{number}); });
        }
    }

    void handle(std::size_t process, const serving::CompletePeerTask &completed)
    {
        schedule(networkDelay, [this, process, completed] {
            const auto node = m_delegated.extract(completed.number);
            if (node.empty()) {
                return;
            }
            const auto [from, task] = node.mapped();
            const auto outcomes = peerwire::decodeOutcomes(peerwire::encode(completed.outcomes), task);
            apply(from,
                  serving::DelegatedTaskEnded{task, m_processes[process].self.instance, *outcomes,
                                              completed.outcomes.empty()});
        });
    }

    void handle(std::size_t process, const serving::SendHeartbeat &heartbeat)
    {
        const std::size_t to = processAt(heartbeat.address);
        deliverHeartbeat(process, to);
        deliverHeartbeat(to, process);
    }

    void handle(std::size_t, const serving::SendResponse &response)
    {
        const auto node = m_calls.extract(response.call);
        if (!node.empty()) {
            WorkspaceResults &results = m_results[node.mapped().workspace];
            ++(m_now - node.mapped().sentAt <= objective ? results.onTime : results.late);
        }
    }

    void handle(std::size_t, const serving::SendErrorResponse &response)
    {
        const auto node = m_calls.extract(response.call);
        if (!node.empty()) {
            WorkspaceResults &results = m_results[node.mapped().workspace];
            ++(m_now == node.mapped().sentAt ? results.rejectedOnArrival : results.rejectedLater);
        }
    }

    void handle(std::size_t, const LogLine &line)
    {
        ++m_logLines[line.text];
    }

    void handle(std::size_t, const Observe &observed)
    {
        const auto [found, isNew] = m_maxima.try_emplace(observed.metric, observed.value);
        found->second = std::max(found->second, observed.value);
    }

    template <typename Ignored>
    void handle(std::size_t, const Ignored &)
    {
    }

    void deliverHeartbeat(std::size_t from, std::size_t to)
    {
        serving::Heartbeat heartbeat = m_processes[from].reducer->heartbeat(m_processes[to].self.address, m_now);
        if (m_options.withoutReports == to) {
            heartbeat.waits.clear();
        }
        schedule(networkDelay, [this, to, text = peerwire::encode(heartbeat)] {
            apply(to, serving::HeartbeatReceived{*peerwire::decodeHeartbeat(text)});
        });
    }

    [[nodiscard]] std::size_t processAt(const std::string &address) const
    {
        const auto found = std::ranges::find_if(
            m_processes, [&address](const Process &process) { return process.self.address == address; });
        return static_cast<std::size_t>(found - m_processes.begin());
    }

    StageFleetOptions m_options;
    Random m_random;
    TimePoint m_now{std::chrono::seconds{100}};
    std::vector<Process> m_processes;
    std::multimap<TimePoint, std::function<void()>> m_actions;
    std::map<CallId, Call> m_calls;
    std::map<InstanceName, TimePoint> m_busyUntil;
    /*! @brief Process and task of each task that a process has sent to another one, until it has ended. */
    std::map<serving::PeerTaskNumber, std::pair<std::size_t, serving::StageTaskId>> m_delegated;
    std::map<serving::PeerTaskNumber, std::size_t> m_receivers;
    std::map<std::string, WorkspaceResults> m_results;
    std::map<std::string, std::size_t> m_logLines;
    std::map<Metric, double> m_maxima;
    std::uint64_t m_nextNumber{1};
    std::size_t m_owner{};
};

} // namespace bergamottide::test
