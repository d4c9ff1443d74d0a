#pragma once

#include "bergamottide/core/enumnames.h"
#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"
#include "bergamottide/events/events.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <variant>
#include <vector>

namespace bergamottide::serving {

/*! @brief What the prompt caches of a pool's engines tell of a stream. */
enum class PromptEvidence : std::uint8_t
{
    /*! @brief They prove the version. */
    Proof,
    NotCached,
    CachedInPart,
    CachedAtSeveralVersions,
    /*! @brief Another version, which has not responded, may have the prompt too. */
    OtherVersionSilent,
    /*! @brief The stream is assigned to another version, so the prompt is cached for another request of its session. */
    AssignedToOtherVersion
};

/**
 * @brief Finds the software version that ran a request by the prompt that its engine still has cached.
 *
 * The last part of a prompt belongs to one request or session, and an engine keeps it for some time after the run. If
 * engines of a single version have it, that version began the stream: new streams begin where their prompt is cached,
 * unless they are assigned to a version, which the caller then names. Engines that do not respond may have it too, so
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
        PromptEvidence evidence{};
        /*! @brief Set if `evidence` is a proof. */
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
     * @param assigned The only version that can have begun the stream; nothing if any can.
     * @param now Current time.
     * @param effects Receives the lists to request.
     */
    void ask(const Asker &asker, const PoolName &pool, const engines::PromptPart &part,
             const std::optional<SoftwareVersion> &assigned, TimePoint now, Effects &effects);

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
        std::optional<SoftwareVersion> assigned;
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
    [[nodiscard]] static Answer answer(const Round &round, const Question &question);

    std::map<PoolName, std::map<InstanceName, Engine>> m_engines;
    std::map<PoolName, Round> m_rounds;
    std::vector<Answer> m_answers;
};

} // namespace bergamottide::serving

template <>
struct bergamottide::EnumNames<bergamottide::serving::PromptEvidence>
{
    static constexpr std::array<std::string_view, 6> names{
        "proof", "not_cached", "cached_in_part", "several_versions", "other_version_silent", "assigned_elsewhere"};
};
