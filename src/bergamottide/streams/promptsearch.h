#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/events/events.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace bergamottide::serving {

/**
 * @brief Finds the software version that ran a request by the prompt that its engine still has cached.
 *
 * The last part of a prompt belongs to one request or session, and an engine keeps it for some time after the run. If
 * engines of a single version have it, that version began the stream. Engines that do not respond may have it too, so
 * that a search proves nothing while one of another version is silent.
 *
 * A search lists the caches of all engines of a pool. Questions that arrive while the lists are under way, or shortly
 * after them, share them.
 */
class PromptSearch
{
public:
    /*! @brief Who asks: a request of this process, or a peer. */
    using Asker = std::variant<CallId, StreamQueryNumber>;

    /*! @brief Answer to a question. */
    struct Answer
    {
        Asker asker;
        /*! @brief Nothing if the engines do not prove a version. */
        std::optional<SoftwareVersion> version;
    };

    /*! @brief Largest number of engines whose caches are listed; streams of larger pools stay unknown. */
    static constexpr std::size_t maxEngines = 256;

    /*! @brief Returns whether the engines of a pool can be asked for a prompt. */
    [[nodiscard]] bool canAsk(const PoolName &pool, const engines::PromptPart &part) const;

    /*! @brief Updates the engines of all pools; an engine that is no longer listed counts as silent. */
    void updateEndpoints(const EndpointList &endpoints);

    /**
     * @brief Asks which version has a part in its caches; the answer follows from `takeAnswers`.
     * @param asker Who asks.
     * @param pool Pool; `canAsk` must hold.
     * @param part Last part of the prompt.
     * @param now Current time.
     * @param effects Receives the lists to request.
     */
    void ask(const Asker &asker, const PoolName &pool, const engines::PromptPart &part, TimePoint now,
             Effects &effects);

    /*! @brief Adds the list of an engine. */
    void handleList(const CachedPromptsListed &event, TimePoint now);

    /*! @brief Ends the searches whose time is up; engines that have not responded count as silent. */
    void handleTimeouts(TimePoint now);

    /*! @brief Returns the answers to questions whose search has ended, and removes them. */
    [[nodiscard]] std::vector<Answer> takeAnswers();

    /*! @brief Returns when the next search ends at the latest. */
    [[nodiscard]] std::optional<TimePoint> nextWakeup() const;

private:
    struct Engine
    {
        std::string address;
        SoftwareVersion version;
    };

    struct Question
    {
        Asker asker;
        engines::PromptPart part;
    };

    /*! @brief Lists of the engines of one pool. */
    struct Round
    {
        TimePoint startedAt{};
        std::optional<TimePoint> endedAt;
        std::map<InstanceName, SoftwareVersion> pending;
        std::set<SoftwareVersion> silent;
        /*! @brief Tokens of each part that engines of a version keep, by the part's identity. */
        std::map<std::string, std::map<SoftwareVersion, std::uint64_t>> tokens;
        std::vector<Question> questions;
    };

    void start(Round &round, const PoolName &pool, TimePoint now, Effects &effects) const;
    void end(Round &round, TimePoint now);
    [[nodiscard]] static std::optional<SoftwareVersion> versionOf(const Round &round, const engines::PromptPart &part);

    std::map<PoolName, std::map<InstanceName, Engine>> m_engines;
    std::map<PoolName, Round> m_rounds;
    std::vector<Answer> m_answers;
};

} // namespace bergamottide::serving
