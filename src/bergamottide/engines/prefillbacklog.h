#pragma once

#include "bergamottide/core/ids.h"
#include "bergamottide/core/time.h"

#include <cstdint>
#include <map>

namespace bergamottide::engines {

/*! @brief One generation at an engine, as the process that sent it numbers it. */
enum class GenerationNumber : std::uint64_t
{
};

/**
 * @brief Prompt tokens that one engine has yet to read: of generations that were sent to it and have no first event.
 *
 * The engine reads prompts one after the other. What it has read of the one in front shows only by its first event, so
 * it is estimated from the time that has passed.
 */
class PrefillBacklog
{
public:
    /**
     * @brief Notes a generation that this process has sent.
     * @param generation Its number.
     * @param tokens Tokens that the engine reads for it.
     * @param now Present time.
     */
    void sent(GenerationNumber generation, std::uint64_t tokens, TimePoint now);

    /*! @brief Notes that the prompt of a generation has been read, or that it has ended. */
    void read(GenerationNumber generation, TimePoint now);

    /**
     * @brief Notes what a peer tells of its own generations; replaces what it told before.
     * @param peer Peer.
     * @param tokens Tokens that the engine has yet to read for it.
     * @param now Present time.
     */
    void told(const InstanceName &peer, std::uint64_t tokens, TimePoint now);

    /**
     * @brief Estimates the tokens of this process's generations that are unread.
     * @param tokensPerSecond Speed at which the engine reads.
     * @param now Present time.
     */
    [[nodiscard]] double own(double tokensPerSecond, TimePoint now) const;

    /**
     * @brief Estimates the tokens of all generations that are unread.
     * @param tokensPerSecond Speed at which the engine reads.
     * @param now Present time.
     */
    [[nodiscard]] double all(double tokensPerSecond, TimePoint now) const;

    /*! @brief Returns the number of this process's generations without a first event. */
    [[nodiscard]] std::size_t waiting() const noexcept;

private:
    struct Told
    {
        std::uint64_t tokens{};
        TimePoint at{};
    };

    std::map<GenerationNumber, std::uint64_t> m_own;
    /*! @brief When the prompt in front began to be read. */
    TimePoint m_frontSince{};
    std::map<InstanceName, Told> m_told;
};

} // namespace bergamottide::engines
