#include "bergamottide/streams/promptsearch.h"

#include <algorithm>
#include <utility>

namespace bergamottide::serving {

namespace {

/*! @brief Time for the lists of a pool; shorter than the timeout of a peer's question. */
constexpr Duration listTimeout = std::chrono::milliseconds{400};
/*! @brief Time for which the lists answer further questions. */
constexpr Duration listLifetime = std::chrono::milliseconds{500};
/*! @brief Tokens at the end of a part that an engine may lack, since it keeps whole blocks of tokens. */
constexpr std::uint64_t maxMissingTokens = 32;

} // namespace

bool PromptSearch::canAsk(const PoolName &pool, const engines::PromptPart &part) const
{
    const auto found = m_engines.find(pool);
    return !part.id.empty() && found != m_engines.end() && found->second.size() <= maxEngines;
}

void PromptSearch::updateEndpoints(const EndpointList &endpoints)
{
    m_engines.clear();
    for (const EndpointRecord &record : endpoints) {
        m_engines[record.pool][record.instance] = {record.address, record.softwareVersion};
    }
}

void PromptSearch::ask(const Asker &asker, const PoolName &pool, const engines::PromptPart &part,
                       const std::optional<SoftwareVersion> &assigned, TimePoint now, Effects &effects)
{
    Round &round = m_rounds[pool];
    if (round.endedAt && now - *round.endedAt < listLifetime) {
        m_answers.push_back(answer(round, {asker, part, assigned}));
        return;
    }
    if (round.endedAt || round.pending.empty()) {
        start(round, pool, now, effects);
    }
    round.questions.push_back({asker, part, assigned});
}

void PromptSearch::start(Round &round, const PoolName &pool, TimePoint now, Effects &effects) const
{
    round = {};
    round.startedAt = now;
    for (const auto &[instance, engine] : m_engines.at(pool)) {
        round.pending.emplace(instance, engine.version);
        effects.emplace_back(ListCachedPrompts{instance, engine.address, listTimeout});
    }
}

void PromptSearch::handleList(const CachedPromptsListed &event, TimePoint now)
{
    for (auto &[pool, round] : m_rounds) {
        const auto node = round.pending.extract(event.instance);
        if (node.empty()) {
            continue;
        }
        if (!event.parts) {
            round.silent.insert(node.mapped());
        }
        for (const engines::PromptPart &part : event.parts.value_or(std::vector<engines::PromptPart>{})) {
            std::uint64_t &tokens = round.tokens[part.id][node.mapped()];
            tokens = std::max(tokens, part.tokens);
        }
        if (round.pending.empty()) {
            end(round, now);
        }
    }
}

void PromptSearch::handleTimeouts(TimePoint now)
{
    for (auto &[pool, round] : m_rounds) {
        if (!round.endedAt && now - round.startedAt >= listTimeout) {
            end(round, now);
        }
    }
    std::erase_if(m_rounds, [now](const auto &entry) {
        return entry.second.endedAt && now - *entry.second.endedAt >= listLifetime;
    });
}

void PromptSearch::end(Round &round, TimePoint now)
{
    for (const auto &[instance, version] : std::exchange(round.pending, {})) {
        round.silent.insert(version);
    }
    round.endedAt = now;
    for (const Question &question : std::exchange(round.questions, {})) {
        m_answers.push_back(answer(round, question));
    }
}

PromptSearch::Answer PromptSearch::answer(const Round &round, const Question &question)
{
    const auto found = round.tokens.find(question.part.id);
    if (found == round.tokens.end()) {
        return {question.asker, PromptEvidence::NotCached, {}};
    }
    if (found->second.size() != 1) {
        return {question.asker, PromptEvidence::CachedAtSeveralVersions, {}};
    }
    const auto &[version, tokens] = *found->second.begin();
    if (tokens + maxMissingTokens < question.part.tokens) {
        return {question.asker, PromptEvidence::CachedInPart, {}};
    }
    if (std::ranges::any_of(round.silent, [&version = version](const auto &silent) { return silent != version; })) {
        return {question.asker, PromptEvidence::OtherVersionSilent, {}};
    }
    if (question.assigned && *question.assigned != version) {
        return {question.asker, PromptEvidence::AssignedToOtherVersion, {}};
    }
    return {question.asker, PromptEvidence::Proof, version};
}

std::vector<PromptSearch::Answer> PromptSearch::takeAnswers()
{
    return std::exchange(m_answers, {});
}

std::optional<TimePoint> PromptSearch::nextWakeup() const
{
    std::optional<TimePoint> next;
    for (const auto &[pool, round] : m_rounds) {
        const TimePoint due = round.endedAt ? *round.endedAt + listLifetime : round.startedAt + listTimeout;
        next = next ? std::min(*next, due) : due;
    }
    return next;
}

} // namespace bergamottide::serving
