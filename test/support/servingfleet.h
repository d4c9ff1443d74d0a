#pragma once

#include "bergamottide/overload/connectiongate.h"
#include "bergamottide/overload/loadmeter.h"
#include "bergamottide/placement/random.h"
#include "bergamottide/serving/servingreducer.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bergamottide::test {

/*! @brief Size and faults of a simulated fleet. */
struct ServingFleetOptions
{
    std::size_t processes{3};
    std::size_t engines{12};
    /*! @brief Percentage of heartbeats, and of their responses, that are lost. */
    std::uint32_t lostHeartbeats{};
    std::uint64_t seed{1};
    /*! @brief Streams have events, and callers resume a stream that breaks off after its first event. */
    bool callersResume{};
    /*! @brief Processor time that a process takes to apply an event; later events wait. Zero for none. */
    Duration eventTime{};
};

/*! @brief What became of the streams of callers that resume them. */
struct StreamResults
{
    /*! @brief Streams of which a caller has received an event. */
    std::size_t begun{};
    /*! @brief Streams that a caller has resumed. */
    std::size_t resumed{};
    /*! @brief Resumed streams of which a caller has received a further event. */
    std::size_t continued{};
    /*! @brief Streams with events of several software versions. */
    std::size_t mixed{};
};

/*! @brief A request that reached an engine. */
struct EngineArrival
{
    TimePoint at{};
    InstanceName engine;
    std::size_t process{};
    /*! @brief How long the process had been running. */
    Duration processAge{};
    std::string target;
    /*! @brief How long the process had known a limit from the engine's own responses; negative if it did not. */
    Duration toldFor{};
    /*! @brief Its prompt contains `crashingPart`. */
    bool hasCrashingPart{};
};

/*! @brief A rejection by which an engine asked a process for a time without requests. */
struct PauseNotice
{
    TimePoint at{};
    InstanceName engine;
    std::size_t process{};
    Duration pause{};
};

/*! @brief What callers got for the requests of one path. */
struct CallerResults
{
    std::size_t sent{};
    std::size_t completed{};
    /*! @brief Rejected with the promise that the request was not executed. */
    std::size_t rejected{};
    std::size_t quarantined{};
    /*! @brief Failed with an error response, or the stream was aborted. */
    std::size_t failed{};
    /*! @brief Ended over half a second after the time limit of the route. */
    std::size_t overdue{};
    /*! @brief No process has read the request. */
    std::size_t unread{};
};

/**
 * @brief Simulates serving processes that exchange heartbeats, and model engines that crash, on a virtual clock.
 *
 * An engine that begins to run a request to `crashingPath`, or one with `crashingPart` in its prompt, crashes soon
 * afterwards, which breaks all its connections.
 * Another instance starts at its address some seconds later. The platform's list follows with a delay.
 */
class ServingFleet
{
public:
    /*! @brief Path prefix of requests that crash the engine that runs them. */
    static constexpr std::string_view crashingPath = "/summary/crash";
    /*! @brief Gap in a stream after which its caller gives up the attempt. */
    static constexpr Duration silenceLimit = std::chrono::seconds{4};
    /*! @brief Part of a prompt that crashes the engine that runs a request with it. */
    static constexpr std::string_view crashingPart = "crash";

    explicit ServingFleet(const ServingFleetOptions &options);

    /*! @brief Advances the clock. */
    void run(Duration time);

    /**
     * @brief Sends a caller's request to a process; one that is down ignores it.
     * @param process Position of the process.
     * @param target Path; requests of the same path are the same request.
     * @param prompt Identities of the parts of the prompt.
     */
    void send(std::size_t process, const std::string &target, const std::vector<std::string> &prompt = {});

    /**
     * @brief Opens a connection with one request, which a process reads unless it closes the connection before.
     *
     * A connection that is refused or closed unread is opened again at another process, twice at most.
     *
     * @param process Process that the load balancer has chosen.
     * @param target Path of the request.
     */
    void connect(std::size_t process, const std::string &target);

    /*! @brief Sends a request to a random process. */
    void send(const std::string &target, const std::vector<std::string> &prompt = {});

    /*! @brief Kills a process and starts it again after some time, without what it knew. */
    void restart(std::size_t process, Duration downTime);

    /**
     * @brief Cuts the power of all processes at once and starts them again after some time.
     *
     * Engines go on with their runs, and callers notice the silence of their streams only after `silenceLimit`.
     */
    void loseAllProcesses(Duration downTime);

    /*! @brief Starts one more process; returns its position. */
    std::size_t addProcess();

    /*! @brief Drops everything that other processes send to a process, which goes on sending. */
    void cutInbound(std::size_t process);

    /*!
     * @brief Sets whether a process is cut off from the platform's list of endpoints.
     *
     * It hears of changes later, through its peers, unless it is cut off from these too.
     */
    void setCutFromStore(std::size_t process, bool isCut);

    /*! @brief Sets whether a process is cut off from the others in both directions. */
    void setCutFromPeers(std::size_t process, bool isCut);

    /*! @brief Stops a process; what arrives waits until it continues. */
    void stop(std::size_t process);

    /*! @brief Order in which a process applies what has arrived while it was stopped. */
    enum class Backlog : std::uint8_t
    {
        AsArrived,
        /*! @brief Requests of callers go before everything else. */
        RequestsFirst
    };

    /*! @brief Lets a process that is stopped apply at once what has arrived, and go on. */
    void continueProcess(std::size_t process, Backlog backlog);

    /*! @brief Sets how long a process is behind: the time for which each event waits. */
    void setLateness(std::size_t process, Duration lateness);

    /*! @brief Breaks all streams in progress at the other processes; their callers resume them at one process. */
    void moveStreams(std::size_t process);

    /*! @brief Sets the pause that an engine asks for while it rejects all requests; nothing to accept them. */
    void setPause(std::size_t engine, std::optional<Duration> pause);

    /*! @brief Sets whether an engine is draining according to the list. */
    void setListedAsDraining(std::size_t engine, bool isDraining);

    /*! @brief Sets whether an engine announces its drain in its responses; the list does not tell. */
    void setDraining(std::size_t engine, bool isDraining);

    /*! @brief Sets the requests per second that an engine names in its responses; nothing for no limit. */
    void setLimit(std::size_t engine, std::optional<double> requestsPerSecond);

    /*! @brief Evacuates an engine's availability zone, or restores it. */
    void setEvacuated(std::size_t engine, bool isEvacuated);

    /*! @brief Returns the name of the instance that runs at an engine's address. */
    [[nodiscard]] const InstanceName &engineInstance(std::size_t engine) const;

    /*! @brief Removes an engine from the list although it runs on. */
    void unlistEngine(std::size_t engine);

    /*! @brief Replaces an engine by one with another version of its software; its runs break off. */
    void replaceEngine(std::size_t engine, const std::string &softwareVersion);

    /*! @brief Returns what became of the streams; empty unless callers resume them. */
    [[nodiscard]] StreamResults streams() const;

    /*! @brief Crashes an engine, which is replaced like one that a request has crashed. */
    void crashEngine(std::size_t engine);

    [[nodiscard]] TimePoint now() const noexcept;

    /*! @brief Returns the requests that reached engines, in order. */
    [[nodiscard]] const std::vector<EngineArrival> &arrivals() const noexcept;

    /*! @brief Returns the rejections with a pause. */
    [[nodiscard]] const std::vector<PauseNotice> &pauses() const noexcept;

    /*! @brief Returns when requests crashed engines, in order. */
    [[nodiscard]] const std::vector<TimePoint> &requestCrashes() const noexcept;

    /*! @brief Returns the results of requests whose path begins with a prefix. */
    [[nodiscard]] CallerResults results(const std::string &prefix) const;

private:
    /*! @brief Connection that a process has accepted and not read. */
    struct Connection
    {
        std::size_t stream{};
        std::size_t attempt{};
        TimePoint since{};
    };

    struct Process
    {
        serving::PeerInfo self;
        std::unique_ptr<serving::ServingReducer> reducer;
        std::uint64_t incarnation{};
        TimePoint startedAt{};
        bool isCutInbound{};
        bool isCutFromStore{};
        bool isCutFromPeers{};
        bool isStopped{};
        Duration lateness{};
        /*! @brief Events that wait for the processor, with their arrival. */
        std::deque<std::pair<TimePoint, serving::Event>> events;
        TimePoint freeAt{};
        std::unique_ptr<overload::LoadMeter> load;
        std::unique_ptr<overload::ConnectionGate> gate;
        std::deque<Connection> connections;
    };

    struct Run
    {
        std::size_t process{};
        std::uint64_t incarnation{};
        serving::RunNumber run{};
        std::string attempt;
        std::string target;
        std::uint64_t nextEvent{};
        bool crashesEngine{};
        std::string lastPart;
    };

    struct Engine
    {
        InstanceName instance;
        std::string address;
        bool isRunning{true};
        bool isEvacuated{};
        std::optional<double> limit;
        std::optional<Duration> pause;
        bool isDraining{};
        bool isListedAsDraining{};
        SoftwareVersion softwareVersion;
        /*! @brief Version of the instance that replaces it. */
        SoftwareVersion nextVersion;
        /*! @brief When each process, by its incarnation, first got a response that names a limit. */
        std::map<std::uint64_t, TimePoint> toldAt;
        std::map<std::uint64_t, Run> runs;
        /*! @brief Last parts of the prompts that it has run. */
        std::set<std::string> cachedParts;
    };

    /*! @brief A stream as its caller sees it, over all attempts. */
    struct Stream
    {
        std::string target;
        std::vector<std::string> prompt;
        /*! @brief Attempt that brought the first event. */
        std::string firstAttempt;
        std::set<SoftwareVersion> versions;
        std::size_t events{};
        std::size_t eventsBeforeResumption{};
        bool isResumed{};
    };

    /*! @brief Request of a caller in progress. */
    struct Call
    {
        std::string target;
        std::string attempt;
        std::size_t process{};
        std::size_t stream{};
        TimePoint sentAt{};
    };

    void start(std::size_t process);
    void sendAttempt(std::size_t process, std::size_t stream);
    void recordEvents(CallId call);
    void resumeStream(std::size_t stream, std::optional<std::size_t> chosen = {});
    void deliverList(std::size_t process);
    void confirmList(std::size_t process);
    void confirmLists();
    [[nodiscard]] bool reachesPeer(std::size_t from, std::size_t to) const;
    void connect(std::size_t process, std::size_t stream, std::size_t attempt);
    void connectElsewhere(std::size_t process, std::size_t stream, std::size_t attempt);
    [[nodiscard]] bool carryOut(overload::ConnectionDecision decision, std::size_t process,
                                const Connection &connection);
    void reviewConnections(std::size_t process);
    void work(std::size_t process);
    void apply(std::size_t process, const serving::Event &event);
    void applyNow(std::size_t process, const serving::Event &event);
    void applyTo(std::size_t process, std::uint64_t incarnation, const serving::Event &event);
    void handle(std::size_t process, const serving::Effect &effect);
    void startRun(std::size_t process, const serving::StartRun &start);
    [[nodiscard]] serving::EndpointNotice notice(Engine &engine, std::uint64_t incarnation) const;
    void beginRun(std::size_t engine, const InstanceName &instance, std::uint64_t number);
    void sendEvent(std::size_t engine, std::uint64_t number);
    void completeRun(std::size_t engine, const InstanceName &instance, std::uint64_t number);
    void checkEndpoint(std::size_t process, const serving::CheckEndpoint &check);
    void lookUpStream(std::size_t process, const serving::LookUpStream &lookup);
    void answerStreamQuery(const serving::AnswerStreamQuery &answer);
    void listCachedPrompts(std::size_t process, const serving::ListCachedPrompts &list);
    void readFormerEndpoints(std::size_t process);
    void exchangeHeartbeats(std::size_t process, const std::string &address);
    void deliverHeartbeat(std::size_t from, std::size_t to);
    void recordEnd(CallId call, std::size_t CallerResults::*outcome);
    [[nodiscard]] bool isLost();
    [[nodiscard]] Duration between(Duration shortest, Duration longest);
    void publishEndpoints();
    void schedule(Duration delay, std::function<void()> action);
    [[nodiscard]] Engine *findEngine(const std::string &address);

    ServingFleetOptions m_options;
    Random m_random;
    TimePoint m_now{std::chrono::seconds{100}};
    std::multimap<TimePoint, std::function<void()>> m_actions;
    std::vector<Process> m_processes;
    std::map<std::string, std::size_t> m_processByAddress;
    std::vector<Engine> m_engines;
    std::map<std::string, std::size_t> m_engineByAddress;
    std::set<InstanceName> m_listed;
    std::shared_ptr<const serving::EndpointList> m_list;
    /*! @brief Endpoints that have left the list, or have got another version, and when. */
    std::vector<std::pair<TimePoint, serving::EndpointRecord>> m_former;
    TimePoint m_confirmedAt{};
    /*! @brief Questions of processes about streams, with the process that asks and its request. */
    std::map<serving::StreamQueryNumber, std::pair<std::size_t, CallId>> m_streamQueries;
    std::map<CallId, Call> m_calls;
    std::vector<Stream> m_streams;
    /*! @brief Software version of the engine at which the latest run of an attempt began. */
    std::map<std::string, SoftwareVersion> m_versions;
    std::map<std::string, CallerResults> m_results;
    std::vector<EngineArrival> m_arrivals;
    std::vector<PauseNotice> m_pauses;
    std::vector<TimePoint> m_requestCrashes;
    std::uint64_t m_nextNumber{1};
};

} // namespace bergamottide::test
