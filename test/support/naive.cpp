#include "support/naive.h"

#include <deque>
#include <set>

namespace bergamottide::test {

namespace {

/*! @brief Silence after which a stage is tried again: as long as the longest run of a full engine. */
constexpr Duration retryTimeout = std::chrono::seconds{6};

/*! @brief Entry that only walks the stages. */
class NaiveEntry
{
public:
    EntryEffects apply(const EntryEvent &event, TimePoint now)
    {
        EntryEffects effects;
        if (const auto *config = std::get_if<ConfigChanged>(&event)) {
            m_document = config->document;
        } else if (const auto *view = std::get_if<ViewChanged>(&event)) {
            m_view = view->view;
        } else if (const auto *submitted = std::get_if<CallerSubmitted>(&event)) {
            submit(*submitted, now, effects);
        } else if (const auto *message = std::get_if<PeerMessage>(&event)) {
            receive(message->message, now, effects);
        }
        expire(now, effects);
        return effects;
    }

    [[nodiscard]] std::optional<TimePoint> nextWakeup() const
    {
        return m_due.empty() ? std::nullopt : std::optional{m_due.begin()->first};
    }

    [[nodiscard]] std::size_t inProgress() const
    {
        return m_requests.size();
    }

private:
    struct Request
    {
        CallerSubmitted submitted;
        TimePoint deadline{};
        TimePoint due{};
        RunId run;
        std::string previous;
        std::string received;
    };

    void submit(const CallerSubmitted &submitted, TimePoint now, EntryEffects &effects)
    {
        Request &request = m_requests[submitted.request];
        request.submitted = submitted;
        request.deadline = now + submitted.deadline.value_or(std::chrono::seconds{9});
        request.run = RunId{submitted.request, 0, 0};
        attempt(request, now, effects);
    }

    void attempt(Request &request, TimePoint now, EntryEffects &effects)
    {
        const Stage &stage = stageOf(request);
        ++request.run.attempt;
        request.received.clear();
        StartRun start{request.run};
        start.pipeline = request.submitted.pipeline;
        start.stage = stage.name;
        start.body = request.submitted.body;
        start.previousResult = request.previous;
        start.maxTokens = request.submitted.maxTokens;
        start.remaining = request.deadline - now;
        effects.emplace_back(SendMessage{nextOf(stage.pool), std::move(start)});
        m_due.erase({request.due, request.submitted.request});
        request.due = std::min(now + retryTimeout, request.deadline);
        m_due.insert({request.due, request.submitted.request});
    }

    void receive(const Message &message, TimePoint now, EntryEffects &effects)
    {
        if (const auto *progress = std::get_if<RunProgress>(&message)) {
            if (Request *request = find(progress->run)) {
                request->received += progress->piece;
            }
        }
        const auto *finished = std::get_if<RunFinished>(&message);
        Request *request = finished != nullptr ? find(finished->run) : nullptr;
        if (request == nullptr) {
            return;
        }
        if (finished->state != RunState::Completed) {
            attempt(*request, now, effects);
            return;
        }
        request->previous = request->received;
        request->run.attempt = 0;
        const auto &stages = m_document->pipelines.at(request->submitted.pipeline).stages;
        if (++request->run.stage < stages.size()) {
            attempt(*request, now, effects);
            return;
        }
        answer(*request, Outcome::Completed, effects);
    }

    void expire(TimePoint now, EntryEffects &effects)
    {
        while (!m_due.empty() && m_due.begin()->first <= now) {
            Request &request = m_requests.at(m_due.begin()->second);
            if (now >= request.deadline) {
                answer(request, Outcome::Unknown, effects);
                continue;
            }
            attempt(request, now, effects);
        }
    }

    void answer(const Request &request, Outcome outcome, EntryEffects &effects)
    {
        const auto id = request.submitted.request;
        SendAnswer done{request.submitted.call, id, outcome};
        done.body = outcome == Outcome::Completed ? request.previous : std::string{};
        effects.emplace_back(std::move(done));
        m_due.erase({request.due, id});
        m_requests.erase(id);
    }

    [[nodiscard]] Request *find(const RunId &run)
    {
        const auto found = m_requests.find(run.request);
        return found != m_requests.end() && found->second.run == run ? &found->second : nullptr;
    }

    [[nodiscard]] const Stage &stageOf(const Request &request) const
    {
        return m_document->pipelines.at(request.submitted.pipeline).stages[request.run.stage];
    }

    [[nodiscard]] InstanceName nextOf(const PoolName &pool)
    {
        std::vector<InstanceName> sides;
        for (const auto &[name, instance] : m_view->instances) {
            if (instance.pool == pool) {
                sides.push_back(name);
            }
        }
        return sides[m_turn[pool]++ % sides.size()];
    }

    std::shared_ptr<const Document> m_document;
    std::shared_ptr<const InstanceView> m_view;
    std::map<RequestId, Request> m_requests;
    std::set<std::pair<TimePoint, RequestId>> m_due;
    std::map<PoolName, std::size_t> m_turn;
};

/*! @brief Side that starts runs in order of arrival. */
class NaiveSide
{
public:
    explicit NaiveSide(PoolName pool)
        : m_pool{std::move(pool)}
    {
    }

    SidecarEffects apply(const SidecarEvent &event, TimePoint)
    {
        SidecarEffects effects;
        if (const auto *config = std::get_if<ConfigChanged>(&event)) {
            m_document = config->document;
        } else if (const auto *message = std::get_if<PeerMessage>(&event)) {
            if (const auto *start = std::get_if<StartRun>(&message->message)) {
                m_queue.push_back({message->from, *start});
            }
        } else if (const auto *piece = std::get_if<EndpointResultPiece>(&event)) {
            forwardPiece(*piece, effects);
        } else if (const auto *finished = std::get_if<EndpointRunEnded>(&event)) {
            forwardEnd(*finished, effects);
        }
        startQueued(effects);
        return effects;
    }

    [[nodiscard]] std::size_t inProgress() const
    {
        return m_queue.size() + m_running.size();
    }

private:
    struct Queued
    {
        InstanceName from;
        StartRun start;
    };

    void forwardPiece(const EndpointResultPiece &piece, SidecarEffects &effects)
    {
        const RunProgress progress{piece.run, RunState::Running, 0, piece.piece, piece.tokens};
        effects.emplace_back(SendMessage{m_running.at(piece.run), progress});
    }

    void forwardEnd(const EndpointRunEnded &finished, SidecarEffects &effects)
    {
        const bool completed = finished.result == EndpointResult::Completed;
        RunFinished end{finished.run, completed ? RunState::Completed : RunState::Failed, finished.reason};
        effects.emplace_back(SendMessage{m_running.at(finished.run), end});
        m_running.erase(finished.run);
    }

    void startQueued(SidecarEffects &effects)
    {
        if (!m_document) {
            return;
        }
        const Pool &pool = m_document->pools.at(m_pool);
        while (!m_queue.empty() && m_running.size() < pool.concurrency) {
            Queued next = std::move(m_queue.front());
            m_queue.pop_front();
            m_running[next.start.run] = next.from;
            effects.emplace_back(StartEndpointRun{std::move(next.start), pool});
        }
    }

    PoolName m_pool;
    std::shared_ptr<const Document> m_document;
    std::deque<Queued> m_queue;
    std::map<RunId, InstanceName> m_running;
};

} // namespace

LogicFactory naiveLogic()
{
    LogicFactory factory;
    factory.entry = [](const EntryIdentity &) {
        const auto entry = std::make_shared<NaiveEntry>();
        return EntryLogic{[entry](const EntryEvent &event, TimePoint now) { return entry->apply(event, now); },
                          [entry] { return entry->nextWakeup(); },
                          [entry] {
                              return entry->inProgress();
                          }};
    };
    factory.side = [](const SidecarIdentity &identity) {
        const auto side = std::make_shared<NaiveSide>(identity.pool);
        return SideLogic{[side](const SidecarEvent &event, TimePoint now) { return side->apply(event, now); },
                         [] { return std::optional<TimePoint>{}; },
                         [side] {
                             return side->inProgress();
                         }};
    };
    return factory;
}

} // namespace bergamottide::test
