#pragma once

#include "bergamottide/entry/entryreducer.h"

#include <xxhash.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bergamottide::test {

/*! @brief Names and pools of the sidecars: two for each pool, the second in another availability zone. */
inline const std::vector<std::pair<std::string, std::string>> fixtureSidecars{
    {"enc-1", "encoders"}, {"enc-2", "encoders"}, {"gen-1", "engines"}, {"gen-2", "engines"}};

/*! @brief Document with a pipeline `answer`, whose stages are repeatable, and `order`, whose last stage is not. */
[[nodiscard]] inline Document fixtureDocument()
{
    Document document;
    document.version = 1;
    document.pools[PoolName{"encoders"}] = Pool{PoolName{"encoders"}, PoolKind::Encoder};
    document.pools[PoolName{"engines"}] = Pool{PoolName{"engines"}, PoolKind::Engine};
    const Stage encode{StageName{"encode"}, PoolName{"encoders"}};
    const Stage generate{StageName{"generate"}, PoolName{"engines"}};
    Stage commit = generate;
    commit.repeatable = Repeatable::No;
    document.pipelines[PipelineName{"answer"}] = Pipeline{PipelineName{"answer"}, {encode, generate}};
    document.pipelines[PipelineName{"order"}] = Pipeline{PipelineName{"order"}, {encode, commit}};
    document.kinds[KindName{"quote"}] = Kind{KindName{"quote"}, 2.0, true, std::chrono::seconds{5}};
    Workspace workspace;
    workspace.name = WorkspaceName{"north"};
    workspace.keyDigests = {"key-north"};
    document.workspaces[workspace.name] = workspace;
    workspace.name = WorkspaceName{"south"};
    workspace.keyDigests = {"key-south"};
    document.workspaces[workspace.name] = workspace;
    for (const char *pipeline : {"answer", "order"}) {
        document.bindings.push_back({WorkspaceName{"north"}, PipelineName{pipeline}, ModelName{"small"}, {}, "1"});
    }
    return document;
}

/*! @brief Instance view with the sidecars of the fixture. */
[[nodiscard]] inline InstanceView fixtureView()
{
    InstanceView view;
    view.revision = 1;
    for (const auto &[name, pool] : fixtureSidecars) {
        Instance instance;
        instance.name = InstanceName{name};
        instance.role = Role::Sidecar;
        instance.region = RegionName{"west"};
        instance.zone = ZoneName{name.back() == '1' ? "a" : "b"};
        instance.pool = PoolName{pool};
        view.instances[instance.name] = instance;
    }
    return view;
}

/*! @brief An entry with a document, a view and open streams to all sidecars, under a virtual clock. */
class EntryFixture
{
public:
    explicit EntryFixture(const Document &document = fixtureDocument())
        : entry{{InstanceName{"entry-1"}, RegionName{"west"}, ZoneName{"a"}, Incarnation{7}, 1}}
    {
        apply(ConfigChanged{std::make_shared<Document>(document), 1});
        apply(ViewChanged{std::make_shared<InstanceView>(fixtureView())});
        for (const auto &[name, pool] : fixtureSidecars) {
            apply(PeerUp{InstanceName{name}});
        }
        effects.clear();
    }

    /*! @brief Applies an event and stores its effects in `effects`. */
    void apply(const EntryEvent &event)
    {
        effects = entry.apply(event, now);
    }

    /*! @brief Applies a message from a sidecar. */
    void receive(const InstanceName &from, Message message)
    {
        apply(PeerMessage{from, std::move(message)});
    }

    /*! @brief Advances the clock, ticks when the entry requests it, and stores all effects. */
    void advanceClock(Duration time)
    {
        const TimePoint end = now + time;
        EntryEffects all;
        while (true) {
            const auto wakeup = entry.nextWakeup();
            if (!wakeup || *wakeup > end) {
                break;
            }
            now = std::max(now, *wakeup);
            for (EntryEffect &effect : entry.apply(Tick{}, now)) {
                all.push_back(std::move(effect));
            }
        }
        now = end;
        effects = std::move(all);
    }

    /*! @brief Returns a submission of workspace `north`. */
    [[nodiscard]] static CallerSubmitted submission(std::uint64_t number, const std::string &pipeline = "answer")
    {
        CallerSubmitted submitted;
        submitted.call = CallId{number};
        submitted.request = RequestId{1, number};
        submitted.keyDigest = "key-north";
        submitted.pipeline = PipelineName{pipeline};
        submitted.body = "body";
        return submitted;
    }

    /*! @brief Returns the last effect of a type among `effects`, if any. */
    template <typename Effect>
    [[nodiscard]] std::optional<Effect> effect() const
    {
        std::optional<Effect> found;
        for (const EntryEffect &item : effects) {
            if (const auto *match = std::get_if<Effect>(&item)) {
                found = *match;
            }
        }
        return found;
    }

    /*! @brief Returns the messages of a type sent in `effects`, with their receivers. */
    template <typename Body>
    [[nodiscard]] std::vector<std::pair<InstanceName, Body>> sent() const
    {
        std::vector<std::pair<InstanceName, Body>> found;
        for (const EntryEffect &item : effects) {
            const auto *send = std::get_if<SendMessage>(&item);
            const Body *body = send ? std::get_if<Body>(&send->message) : nullptr;
            if (body) {
                found.emplace_back(send->to, *body);
            }
        }
        return found;
    }

    /*! @brief Returns the sum of a metric's changes in `effects`. */
    [[nodiscard]] double metricSum(Metric metric) const
    {
        double sum = 0;
        for (const EntryEffect &item : effects) {
            const auto *observe = std::get_if<Observe>(&item);
            sum += observe && observe->metric == metric ? observe->value : 0;
        }
        return sum;
    }

    /*! @brief Returns the end of a run that completed with a result. */
    [[nodiscard]] static RunFinished completed(const RunId &run, std::string_view result)
    {
        RunFinished finished;
        finished.run = run;
        finished.state = RunState::Completed;
        finished.length = result.size();
        finished.digest = XXH3_64bits(result.data(), result.size());
        finished.serviceTime = std::chrono::milliseconds{20};
        return finished;
    }

    /*! @brief Returns the end of a run that is confirmed as never started. */
    [[nodiscard]] static RunFinished refused(const RunId &run, Reason reason)
    {
        RunFinished finished;
        finished.run = run;
        finished.state = RunState::NotStarted;
        finished.reason = reason;
        return finished;
    }

    /*! @brief Completes a run with a result in one piece. */
    void complete(const InstanceName &sidecar, const RunId &run, const std::string &result)
    {
        receive(sidecar, RunProgress{run, RunState::Running, 0, result, 1});
        receive(sidecar, completed(run, result));
    }

    EntryReducer entry;
    TimePoint now{std::chrono::seconds{1}};
    EntryEffects effects;
};

} // namespace bergamottide::test
