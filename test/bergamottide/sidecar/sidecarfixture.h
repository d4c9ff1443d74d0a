#pragma once

#include "bergamottide/sidecar/sidecarreducer.h"

#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace bergamottide::test {

inline constexpr Incarnation testIncarnation{7};

/*! @brief Returns the identity of a run of request `number`. */
inline RunId runId(std::uint64_t number, std::uint32_t attempt = 1, std::uint32_t stage = 0)
{
    return {RequestId{1, number}, stage, attempt};
}

/*! @brief Returns a document with one pool and two workspaces. */
inline Document minimalDocument()
{
    Document document;
    document.version = 1;
    Pool pool;
    pool.name = PoolName{"engines"};
    pool.kind = PoolKind::Engine;
    pool.concurrency = 2;
    document.pools[pool.name] = pool;
    for (const char *name : {"north", "south"}) {
        document.workspaces[WorkspaceName{name}] = Workspace{WorkspaceName{name}};
    }
    return document;
}

/*! @brief Returns an instance list of sidecars of pool `engines` with these names. */
inline std::shared_ptr<const InstanceView> instanceViewOf(const std::vector<std::string> &names)
{
    auto view = std::make_shared<InstanceView>();
    for (const std::string &name : names) {
        Instance instance;
        instance.name = InstanceName{name};
        instance.role = Role::Sidecar;
        instance.pool = PoolName{"engines"};
        view->instances[instance.name] = instance;
    }
    return view;
}

/*! @brief A sidecar with a manual clock that collects its effects. */
class SidecarFixture
{
public:
    explicit SidecarFixture(Document document = minimalDocument())
        : m_reducer{SidecarIdentity{InstanceName{"side-1"}, RegionName{"r"}, ZoneName{"z"}, PoolName{"engines"},
                                    testIncarnation, 1}}
    {
        apply(ConfigChanged{std::make_shared<const Document>(std::move(document)), 1});
        apply(ViewChanged{instanceViewOf({"side-1"})});
        apply(PeerUp{entry});
        effects.clear();
    }

    void apply(const SidecarEvent &event)
    {
        for (SidecarEffect &effect : m_reducer.apply(event, clock.now())) {
            effects.push_back(std::move(effect));
        }
    }

    void receive(Message message, const InstanceName &from)
    {
        apply(PeerMessage{from, std::move(message)});
    }

    void receive(Message message)
    {
        receive(std::move(message), entry);
    }

    /*! @brief Advances the clock and delivers every tick requested on the way. */
    void advanceClock(Duration length)
    {
        const TimePoint end = clock.now() + length;
        while (m_reducer.nextWakeup() && *m_reducer.nextWakeup() <= end) {
            clock.set(std::max(*m_reducer.nextWakeup(), clock.now()));
            apply(Tick{});
        }
        clock.set(end);
    }

    /*! @brief Opens a request and returns its serial; `noSerial` if refused. */
    Serial openRequest(std::uint64_t number, Duration remaining = std::chrono::seconds{9}, bool keyed = false)
    {
        receive(OpenRequest{RequestId{1, number}, WorkspaceName{"north"}, remaining, keyed});
        const auto opened = messagesOf<RequestOpened>();
        return opened.empty() || opened.back().request.low != number ? noSerial : opened.back().serial;
    }

    /*! @brief Returns a start message with default values. */
    static StartRun makeStartRun(const RunId &run, Serial serial = noSerial, const std::string &workspace = "north")
    {
        StartRun message;
        message.run = run;
        message.serial = serial;
        message.incarnation = testIncarnation;
        message.workspace = WorkspaceName{workspace};
        message.pipeline = PipelineName{"p"};
        message.stage = StageName{"s"};
        message.remaining = std::chrono::seconds{9};
        message.cost = std::chrono::milliseconds{100};
        message.body = "body";
        return message;
    }

    /*! @brief Returns the effects of a type since the last `clearEffects`. */
    template <typename Effect>
    [[nodiscard]] std::vector<Effect> effectsOf() const
    {
        std::vector<Effect> found;
        for (const SidecarEffect &effect : effects) {
            if (const auto *match = std::get_if<Effect>(&effect)) {
                found.push_back(*match);
            }
        }
        return found;
    }

    /*! @brief Returns the messages of a type sent since the last `clearEffects`, to one peer or to any. */
    template <typename Kind>
    [[nodiscard]] std::vector<Kind> messagesOf(const InstanceName &to = {}) const
    {
        std::vector<Kind> found;
        for (const auto &sent : effectsOf<SendMessage>()) {
            const auto *match = std::get_if<Kind>(&sent.message);
            if (match != nullptr && (to.empty() || sent.to == to)) {
                found.push_back(*match);
            }
        }
        return found;
    }

    /*! @brief Returns how often a run was started at the endpoint since the last `clearEffects`. */
    [[nodiscard]] std::size_t startCount(const RunId &run) const
    {
        std::size_t count = 0;
        for (const auto &started : effectsOf<StartEndpointRun>()) {
            count += started.spec.run == run ? 1 : 0;
        }
        return count;
    }

    /*! @brief Returns the last `RunFinished` sent for a run; state `Absent` if there is none. */
    [[nodiscard]] RunFinished lastFinished(const RunId &run) const
    {
        RunFinished last;
        for (const auto &finished : messagesOf<RunFinished>()) {
            if (finished.run == run) {
                last = finished;
            }
        }
        return last;
    }

    void completeRun(const RunId &run, const std::string &result = "answer")
    {
        apply(EndpointResultPiece{run, result, 1});
        apply(EndpointRunEnded{run, EndpointResult::Completed, Reason::None});
    }

    void clearEffects()
    {
        effects.clear();
    }

    SidecarReducer &reducer()
    {
        return m_reducer;
    }

    const InstanceName entry{"entry-1"};
    const InstanceName otherEntry{"entry-2"};
    ManualClock clock;
    std::vector<SidecarEffect> effects;

private:
    SidecarReducer m_reducer;
};

} // namespace bergamottide::test
