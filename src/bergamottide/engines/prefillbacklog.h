#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"

#include <cstdint>
#include <map>

namespace bergamottide::engines {

/*! @brief Id of a generation, unique within the process that sent it; increases. */
enum class GenerationNumber : std::uint64_t
{
};

/**
 * @brief Pending prompt tokens at one engine: those of generations without a first event.
 *
 * The engine prefills prompts one after the other. The progress of the first one is estimated from the elapsed time.
 */
class PrefillBacklog
{
public:
    /**
     * @brief Adds a generation that this process has sent.
     * @param generation Number of the generation.
     * @param tokens Tokens to prefill.
     * @param now Current time.
     */
    void add(GenerationNumber generation, std::uint64_t tokens, TimePoint now);

    /*! @brief Removes a generation whose prefill is complete, or that has ended. */
    void remove(GenerationNumber generation, TimePoint now);

    /**
     * @brief Sets the pending tokens of a peer's generations.
     * @param peer Peer.
     * @param tokens Tokens from its latest report; zero removes the peer.
     * @param now Current time.
     */
    void setPeerTokens(const InstanceName &peer, std::uint64_t tokens, TimePoint now);

    /**
     * @brief Estimates the pending tokens of this process's generations.
     * @param tokensPerSecond Prefill rate of the engine.
     * @param now Current time.
     */
    [[nodiscard]] double ownTokens(double tokensPerSecond, TimePoint now) const;

    /**
     * @brief Estimates the pending tokens of all generations, including those of peers.
     * @param tokensPerSecond Prefill rate of the engine.
     * @param now Current time.
     */
    [[nodiscard]] double totalTokens(double tokensPerSecond, TimePoint now) const;

    /*! @brief Returns the number of this process's generations without a first event. */
    [[nodiscard]] std::size_t size() const noexcept;

private:
    struct PeerBacklog
    {
        std::uint64_t tokens{};
        TimePoint at{};
    };

    std::map<GenerationNumber, std::uint64_t> m_tokens;
    /*! @brief Start of the prefill of the first generation. */
    TimePoint m_frontSince{};
    std::map<InstanceName, PeerBacklog> m_peers;
};

} // namespace bergamottide::engines
