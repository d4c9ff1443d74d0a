// Slopes behind docs/capacity-sidecars.md: processor time, memory and bytes against the size of one thing at a time.
//
// Prints one JSON object; scripts/capacity.py writes the tables of the page from it. Processor time is that of the
// thread, memory that of the heap in use, bytes are those of the frames between processes.

#include "bergamottide/config/section.h"
#include "bergamottide/entry/entryreducer.h"
#include "bergamottide/net/codec.h"
#include "bergamottide/net/peertransport.h"
#include "bergamottide/sidecar/sidecarreducer.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <malloc.h>

#include <array>
#include <ctime>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

using namespace bergamottide;

namespace {

using Json = nlohmann::ordered_json;

constexpr std::array<int, 3> endpointCounts{129, 1000, 4000};
constexpr std::array<int, 3> workspaceCounts{5, 520, 2000};
constexpr std::array<int, 3> requestCounts{100, 500, 2000};
constexpr std::array<int, 3> tokenCounts{1000, 5000, 20000};
constexpr std::array<int, 3> recordCounts{100, 1000, 4000};
constexpr std::array<int, 3> subscriberCounts{11, 44, 350};
constexpr std::array<int, 3> messageCounts{500, 2000, 8000};
constexpr int stages = 4;
constexpr int bodyBytes = 1000;
constexpr std::string_view keyDigest = "0000000000000000000000000000000000000000000000000000000000000000";

/*! @brief Processor time of this thread. */
double cpuMicroseconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

double heapBytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

/*! @brief Processor time of a step, in microseconds. */
template <typename Step>
double timeOf(Step step)
{
    const double start = cpuMicroseconds();
    step();
    return cpuMicroseconds() - start;
}

Document documentOf(int workspaces)
{
    Document document;
    document.version = 1;
    const PoolName pool{"engines"};
    document.pools[pool] = {.name = pool, .kind = PoolKind::Engine, .concurrency = 64};
    Pipeline pipeline{PipelineName{"answer"}, {}};
    for (int number = 0; number < stages; ++number) {
        pipeline.stages.push_back({.name = StageName{"stage-" + std::to_string(number)}, .pool = pool});
    }
    document.pipelines[pipeline.name] = pipeline;
    Pipeline order = pipeline;
    order.name = PipelineName{"order"};
    order.stages.back().repeatable = Repeatable::No;
    document.pipelines[order.name] = order;
    document.models[ModelName{"model"}] = {.name = ModelName{"model"}, .versions = {"1"}};
    for (int number = 0; number < workspaces; ++number) {
        const WorkspaceName name{"workspace-" + std::to_string(number)};
        std::string digest = std::to_string(number);
        digest.insert(0, keyDigest.size() - digest.size(), '0');
        document.workspaces[name] = {.name = name, .keyDigests = {digest}, .maxInProgress = 1'000'000};
        for (const char *bound : {"answer", "order"}) {
            document.bindings.push_back({name, PipelineName{bound}, ModelName{"model"}, {}, "1"});
        }
    }
    document.policy.ledgerLimit = 100'000;
    document.policy.queueLimit = 100'000;
    return document;
}

InstanceView viewOf(int sides)
{
    InstanceView view;
    view.revision = 1;
    for (int number = 0; number < sides; ++number) {
        Instance instance;
        instance.name = InstanceName{"side-" + std::to_string(number)};
        instance.role = Role::Sidecar;
        instance.region = RegionName{"west"};
        instance.zone = ZoneName{"a"};
        instance.address = "10.0.0.1:4000";
        instance.pool = PoolName{"engines"};
        view.instances[instance.name] = instance;
    }
    return view;
}

/*! @brief An entry with a document, a view and open streams. */
class Entry
{
public:
    Entry(int sides, int workspaces)
        : m_reducer{{InstanceName{"entry"}, RegionName{"west"}, ZoneName{"a"}, Incarnation{1}, 1}}
    {
        apply(ConfigChanged{std::make_shared<Document>(documentOf(workspaces)), 1});
        apply(ViewChanged{std::make_shared<InstanceView>(viewOf(sides))});
        for (int number = 0; number < sides; ++number) {
            apply(PeerUp{InstanceName{"side-" + std::to_string(number)}});
            report(number);
        }
    }

    EntryEffects apply(const EntryEvent &event)
    {
        return m_reducer.apply(event, m_now);
    }

    void report(int side)
    {
        LoadReport report;
        report.incarnation = Incarnation{1};
        report.concurrency = 64;
        report.running = 1;
        apply(PeerMessage{InstanceName{"side-" + std::to_string(side)}, report});
    }

    void advance(Duration step)
    {
        m_now += step;
        static_cast<void>(m_reducer.apply(Tick{}, m_now));
    }

private:
    EntryReducer m_reducer;
    TimePoint m_now{std::chrono::seconds{1}};
};

CallerSubmitted submission(int number, bool streaming)
{
    CallerSubmitted submitted;
    submitted.call = CallId{static_cast<std::uint64_t>(number) + 1};
    submitted.request =
        RequestId{0x9e3779b97f4a7c15ULL * (static_cast<std::uint64_t>(number) + 1), static_cast<std::uint64_t>(number)};
    submitted.keyDigest = keyDigest;
    submitted.pipeline = PipelineName{"answer"};
    submitted.streaming = streaming;
    submitted.body = std::string(bodyBytes, 'x');
    return submitted;
}

/*! @brief Finds the run that a set of effects starts. */
const SendMessage *startIn(const EntryEffects &effects)
{
    for (const EntryEffect &effect : effects) {
        const auto *send = std::get_if<SendMessage>(&effect);
        if (send != nullptr && std::holds_alternative<StartRun>(send->message)) {
            return send;
        }
    }
    return nullptr;
}

/*! @brief Bytes of the frames that a set of effects sends. */
double bytesOf(const EntryEffects &effects)
{
    double bytes = 0;
    for (const EntryEffect &effect : effects) {
        if (const auto *send = std::get_if<SendMessage>(&effect)) {
            bytes += static_cast<double>(toFrame(send->message).ByteSizeLong());
        }
    }
    return bytes;
}

RunFinished finished(const RunId &run, const std::string &result)
{
    RunFinished message;
    message.run = run;
    message.state = RunState::Completed;
    message.length = result.size();
    message.digest = XXH3_64bits(result.data(), result.size());
    message.serviceTime = std::chrono::milliseconds{5};
    return message;
}

Json endpointsInView()
{
    Json rows = Json::array();
    for (const int count : endpointCounts) {
        const double before = heapBytes();
        Entry entry{count, 5};
        const double heap = heapBytes() - before;
        constexpr int rounds = 20;
        const double report = timeOf([&] {
            for (int round = 0; round < rounds; ++round) {
                for (int side = 0; side < count; ++side) {
                    entry.report(side);
                }
            }
        });
        const double view = timeOf([&] {
            InstanceView changed = viewOf(count);
            changed.revision = 2;
            changed.instances.begin()->second.leaving = true;
            entry.apply(ViewChanged{std::make_shared<InstanceView>(changed)});
        });
        rows.push_back({{"endpoints", count},
                        {"heap_bytes", heap},
                        {"report_us", report / rounds / count},
                        {"view_change_us", view}});
    }
    return rows;
}

Json workspacesInDocument()
{
    Json rows = Json::array();
    for (const int count : workspaceCounts) {
        const std::string text = writeDocument(documentOf(count));
        double before = heapBytes();
        Entry entry{129, count};
        const double entryHeap = heapBytes() - before;
        before = heapBytes();
        SidecarReducer side{
            {InstanceName{"side-0"}, RegionName{"west"}, ZoneName{"a"}, PoolName{"engines"}, Incarnation{1}, 1}};
        static_cast<void>(side.apply(ConfigChanged{std::make_shared<Document>(documentOf(count)), 1},
                                     TimePoint{std::chrono::seconds{1}}));
        const double sideHeap = heapBytes() - before;
        const double change = timeOf([&] {
            Document document = documentOf(count);
            document.version = 2;
            entry.apply(ConfigChanged{std::make_shared<Document>(document), 2});
        });
        rows.push_back({{"workspaces", count},
                        {"document_bytes", text.size()},
                        {"entry_heap_bytes", entryHeap},
                        {"side_heap_bytes", sideHeap},
                        {"apply_us", change}});
    }
    return rows;
}

/*! @brief Drives a request from its first run to its answer; returns the bytes sent. */
double drive(Entry &entry, EntryEffects effects)
{
    const std::string result(100, 'r');
    double bytes = 0;
    while (const SendMessage *start = startIn(effects)) {
        bytes += bytesOf(effects);
        const InstanceName side = start->to;
        const RunId run = std::get<StartRun>(start->message).run;
        static_cast<void>(entry.apply(PeerMessage{side, RunProgress{run, RunState::Running, 0, result, 1}}));
        effects = entry.apply(PeerMessage{side, finished(run, result)});
    }
    return bytes + bytesOf(effects);
}

Json requestsInProgress()
{
    Json rows = Json::array();
    for (const int count : requestCounts) {
        Entry entry{129, 5};
        for (int number = 0; number < 20; ++number) {
            drive(entry, entry.apply(submission(1'000'000 + number, false)));
        }
        std::vector<EntryEffects> started;
        started.reserve(static_cast<std::size_t>(count));
        const double before = heapBytes();
        const double submit = timeOf([&] {
            for (int number = 0; number < count; ++number) {
                started.push_back(entry.apply(submission(number, false)));
            }
        });
        const double heap = heapBytes() - before;
        double bytes = 0;
        const double finish = timeOf([&] {
            for (EntryEffects &effects : started) {
                bytes += drive(entry, std::move(effects));
            }
        });
        rows.push_back({{"requests", count},
                        {"heap_bytes", heap},
                        {"request_us", (submit + finish) / count},
                        {"sent_bytes", bytes / count}});
    }
    return rows;
}

Json tokensRelayed()
{
    Json rows = Json::array();
    const std::string piece = " token";
    for (const int count : tokenCounts) {
        Entry entry{129, 5};
        EntryEffects effects = entry.apply(submission(1, true));
        RunId run;
        InstanceName side;
        for (int stage = 0; stage < stages; ++stage) {
            const SendMessage *start = startIn(effects);
            run = std::get<StartRun>(start->message).run;
            side = start->to;
            if (stage + 1 < stages) {
                effects = entry.apply(PeerMessage{side, finished(run, "")});
            }
        }
        double bytes = 0;
        const double time = timeOf([&] {
            for (int token = 0; token < count; ++token) {
                const std::uint64_t offset = piece.size() * static_cast<std::uint64_t>(token);
                wire::Frame frame = toFrame(RunProgress{run, RunState::Running, offset, piece, 1});
                bytes += static_cast<double>(frame.ByteSizeLong());
                static_cast<void>(entry.apply(PeerMessage{side, *fromFrame(frame)}));
            }
        });
        rows.push_back({{"tokens", count}, {"token_us", time / count}, {"token_bytes", bytes / count}});
    }
    return rows;
}

StartRun runOf(int number, Serial serial)
{
    StartRun start;
    start.run = {submission(number, false).request, stages - 1, 1};
    start.serial = serial;
    start.incarnation = Incarnation{1};
    start.workspace = WorkspaceName{"workspace-" + std::to_string(number % 5)};
    start.pipeline = PipelineName{"order"};
    start.stage = StageName{"stage-3"};
    start.remaining = std::chrono::seconds{9};
    start.cost = std::chrono::milliseconds{10};
    start.body = std::string(bodyBytes, 'x');
    return start;
}

Json ledgerRecords()
{
    Json rows = Json::array();
    const InstanceName entry{"entry"};
    for (const int count : recordCounts) {
        SidecarReducer side{
            {InstanceName{"side-0"}, RegionName{"west"}, ZoneName{"a"}, PoolName{"engines"}, Incarnation{1}, 1}};
        const TimePoint now{std::chrono::seconds{1}};
        static_cast<void>(side.apply(ConfigChanged{std::make_shared<Document>(documentOf(5)), 1}, now));
        static_cast<void>(side.apply(ViewChanged{std::make_shared<InstanceView>(viewOf(129))}, now));
        static_cast<void>(side.apply(PeerUp{entry}, now));
        std::vector<Serial> serials;
        const double before = heapBytes();
        const double open = timeOf([&] {
            for (int number = 0; number < count; ++number) {
                const OpenRequest request{submission(number, false).request, WorkspaceName{"workspace-0"},
                                          std::chrono::seconds{9}, false};
                for (const SidecarEffect &effect : side.apply(PeerMessage{entry, request}, now)) {
                    const auto *send = std::get_if<SendMessage>(&effect);
                    const auto *opened = send != nullptr ? std::get_if<RequestOpened>(&send->message) : nullptr;
                    if (opened != nullptr) {
                        serials.push_back(opened->serial);
                    }
                }
            }
        });
        const double heap = heapBytes() - before;
        const std::string result(400, 'r');
        const double run = timeOf([&] {
            for (int number = 0; number < count; ++number) {
                const StartRun start = runOf(number, serials.at(static_cast<std::size_t>(number)));
                static_cast<void>(side.apply(PeerMessage{entry, start}, now));
                static_cast<void>(side.apply(EndpointResultPiece{start.run, result, 1}, now));
                static_cast<void>(side.apply(EndpointRunEnded{start.run, EndpointResult::Completed, {}}, now));
                static_cast<void>(side.apply(PeerMessage{entry, RunAcknowledged{start.run}}, now));
            }
        });
        const double kept = heapBytes() - before;
        rows.push_back({{"records", count},
                        {"opened_heap_bytes", heap},
                        {"finished_heap_bytes", kept},
                        {"open_us", open / count},
                        {"run_us", run / count}});
    }
    return rows;
}

Json subscribers()
{
    Json rows = Json::array();
    for (const int count : subscriberCounts) {
        SidecarReducer side{
            {InstanceName{"side-0"}, RegionName{"west"}, ZoneName{"a"}, PoolName{"engines"}, Incarnation{1}, 1}};
        TimePoint now{std::chrono::seconds{1}};
        const double before = heapBytes();
        const Document document = documentOf(5);
        static_cast<void>(side.apply(ConfigChanged{std::make_shared<Document>(document), 1}, now));
        for (int number = 0; number < count; ++number) {
            static_cast<void>(side.apply(PeerUp{InstanceName{"entry-" + std::to_string(number)}}, now));
        }
        const double heap = heapBytes() - before;
        constexpr int rounds = 40;
        double bytes = 0;
        double messages = 0;
        const double time = timeOf([&] {
            for (int round = 0; round < rounds; ++round) {
                now += document.policy.reportPeriod;
                for (const SidecarEffect &effect : side.apply(Tick{}, now)) {
                    const auto *send = std::get_if<SendMessage>(&effect);
                    if (send != nullptr && std::holds_alternative<LoadReport>(send->message)) {
                        bytes += static_cast<double>(toFrame(send->message).ByteSizeLong());
                        ++messages;
                    }
                }
            }
        });
        rows.push_back({{"subscribers", count},
                        {"heap_bytes", heap},
                        {"reports", messages / rounds},
                        {"report_round_us", time / rounds},
                        {"report_bytes", messages > 0 ? bytes / messages : 0}});
    }
    return rows;
}

/*! @brief Processor time of all threads of the process. */
double processCpuMicroseconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

/**
 * @brief Cost of a message between two processes, both ends together, over loopback.
 *
 * One at a time is the dearest way: each message is a frame, a packet and two wakeups. In a burst the messages that
 * wait leave together.
 */
Json transport()
{
    const SystemClock clock;
    Loop loop{clock};
    std::size_t received = 0;
    bool up = false;
    const auto ignore = [](const InstanceName &) {
    };
    PeerTransportOptions sideOptions;
    sideOptions.listen = "127.0.0.1:0";
    sideOptions.hello.instance = InstanceName{"side"};
    PeerTransport side{loop, sideOptions, {ignore, ignore, [&](const InstanceName &, Message message) {
                                               received += std::holds_alternative<LoadReport>(message) ? 1 : 0;
                                           }}};
    PeerTransportOptions entryOptions;
    entryOptions.hello.instance = InstanceName{"entry"};
    PeerTransport entry{loop,
                        entryOptions,
                        {[&](const InstanceName &) { up = true; }, ignore,
                         [](const InstanceName &, Message) {
                         }}};
    if (!side.listen().ok()) {
        return {};
    }
    entry.connect(InstanceName{"side"}, side.address());
    const auto runUntil = [&loop](auto condition) {
        while (!condition()) {
            loop.runOnce(std::chrono::milliseconds{10});
        }
    };
    runUntil([&] { return up; });
    Json rows = Json::array();
    for (const int count : messageCounts) {
        const std::size_t first = received;
        double start = processCpuMicroseconds();
        for (int number = 1; number <= count; ++number) {
            entry.send(InstanceName{"side"}, LoadReport{});
            runUntil([&] { return received == first + static_cast<std::size_t>(number); });
        }
        const double single = processCpuMicroseconds() - start;
        start = processCpuMicroseconds();
        for (int number = 0; number < count; ++number) {
            entry.send(InstanceName{"side"}, LoadReport{});
        }
        runUntil([&] { return received == first + 2 * static_cast<std::size_t>(count); });
        const double burst = processCpuMicroseconds() - start;
        rows.push_back({{"messages", count}, {"single_us", single / count}, {"burst_us", burst / count}});
    }
    return rows;
}

} // namespace

int main()
{
    Json result;
    result["endpoints"] = endpointsInView();
    result["workspaces"] = workspacesInDocument();
    result["requests"] = requestsInProgress();
    result["tokens"] = tokensRelayed();
    result["ledger"] = ledgerRecords();
    result["subscribers"] = subscribers();
    result["transport"] = transport();
    std::cout << result.dump(2) << std::endl;
    return 0;
}
