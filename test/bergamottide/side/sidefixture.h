#pragma once

#include "bergamottide/side/sidereducer.h"

#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace bergamottide::test {

inline constexpr Incarnation thisIncarnation{7};

/*! @brief Returns a run identity of request `number`. */
inline RunId runId(std::uint64_t number, std::uint32_t attempt = 1, std::uint32_t stage = 0)
{
    return {RequestId{1, number}, stage, attempt};
}

/*! @brief Returns a document with one pool and two workspaces. */
inline Document smallDocument()
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

/*! @brief Instance list of sides of pool `engines` with these names. */
inline std::shared_ptr<const InstanceView> viewOf(const std::vector<std::string> &names)
{
    auto view = std::make_shared<InstanceView>();
    for (const std::string &name : names) {
        Instance instance;
        instance.name = InstanceName{name};
        instance.role = Role::Side;
        instance.pool = PoolName{"engines"};
        view->instances[instance.name] = instance;
    }
    return view;
}

/*! @brief A side under a virtual clock, with what it has done since the last look. */
class SideFixture
{
public:
    explicit SideFixture(Document document = smallDocument())
        : m_side{SideIdentity{InstanceName{"side-1"}, RegionName{"r"}, ZoneName{"z"}, PoolName{"engines"},
                              thisIncarnation, 1}}
    {
        apply(ConfigChanged{std::make_shared<const Document>(std::move(document)), 1});
        apply(ViewChanged{viewOf({"side-1"})});
        apply(PeerUp{entry});
        effects.clear();
    }

    void apply(const SideEvent &event)
    {
        for (SideEffect &effect : m_side.apply(event, clock.now())) {
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

    /*! @brief Lets time pass with every tick that the side asks for. */
    void pass(Duration length)
    {
        const TimePoint end = clock.now() + length;
        while (m_side.nextWakeup() && *m_side.nextWakeup() <= end) {
            clock.set(std::max(*m_side.nextWakeup(), clock.now()));
            apply(Tick{});
        }
        clock.set(end);
    }

    /*! @brief Opens a request and returns its serial; zero if refused. */
    Serial open(std::uint64_t number, Duration remaining = std::chrono::seconds{9}, bool keyed = false)
    {
        receive(OpenRequest{RequestId{1, number}, WorkspaceName{"north"}, remaining, keyed});
        const auto opened = messages<RequestOpened>();
        return opened.empty() || opened.back().request.low != number ? noSerial : opened.back().serial;
    }

    /*! @brief Returns a run ready to be sent. */
    static StartRun start(const RunId &run, Serial serial = noSerial, const std::string &workspace = "north")
    {
        StartRun order;
        order.run = run;
        order.serial = serial;
        order.incarnation = thisIncarnation;
        order.workspace = WorkspaceName{workspace};
        order.pipeline = PipelineName{"p"};
        order.stage = StageName{"s"};
        order.remaining = std::chrono::seconds{9};
        order.cost = std::chrono::milliseconds{100};
        order.body = "body";
        return order;
    }

    /*! @brief Returns the effects of a kind since the last `clear`. */
    template <typename Effect>
    [[nodiscard]] std::vector<Effect> all() const
    {
        std::vector<Effect> found;
        for (const SideEffect &effect : effects) {
            if (const auto *match = std::get_if<Effect>(&effect)) {
                found.push_back(*match);
            }
        }
        return found;
    }

    /*! @brief Returns the messages of a kind sent since the last `clear`, to one peer or to any. */
    template <typename Kind>
    [[nodiscard]] std::vector<Kind> messages(const InstanceName &to = {}) const
    {
        std::vector<Kind> found;
        for (const auto &sent : all<SendMessage>()) {
            const auto *match = std::get_if<Kind>(&sent.message);
            if (match != nullptr && (to.empty() || sent.to == to)) {
                found.push_back(*match);
            }
        }
        return found;
    }

    /*! @brief Tells how often a run was handed to the endpoint since the last `clear`. */
    [[nodiscard]] std::size_t starts(const RunId &run) const
    {
        std::size_t count = 0;
        for (const auto &started : all<EndpointStart>()) {
            count += started.run.run == run ? 1 : 0;
        }
        return count;
    }

    /*! @brief Returns the last end told of a run; state `Absent` if none was. */
    [[nodiscard]] RunFinished lastEnd(const RunId &run) const
    {
        RunFinished last;
        for (const auto &finished : messages<RunFinished>()) {
            if (finished.run == run) {
                last = finished;
            }
        }
        return last;
    }

    void complete(const RunId &run, const std::string &result = "answer")
    {
        apply(EndpointPiece{run, result, 1});
        apply(EndpointFinished{run, EndpointResult::Completed, Reason::None});
    }

    void clear()
    {
        effects.clear();
    }

    SideReducer &side()
    {
        return m_side;
    }

    const InstanceName entry{"entry-1"};
    const InstanceName other{"entry-2"};
    ManualClock clock;
    std::vector<SideEffect> effects;

private:
    SideReducer m_side;
};

} // namespace bergamottide::test
