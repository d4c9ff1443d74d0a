#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace bergamottide::standin {

/**
 * @brief TCP relay whose open connections can go silent for good while new ones work.
 *
 * A silent connection stays open on both ends and carries nothing, as when something between
 * the ends has lost track of it. Made of plain sockets, since it must not answer by itself.
 */
class Relay
{
public:
    /**
     * @brief Creates a relay that listens on the loopback address, on a port that the kernel chooses.
     * @param target Address to relay to, `ip:port`.
     */
    explicit Relay(std::string target);
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;
    ~Relay();

    /*! @brief Returns the address listened on, or an empty text if that failed. */
    [[nodiscard]] std::string address() const;

    /**
     * @brief Relays for a while.
     * @param waitMs Longest wait in milliseconds.
     */
    void runOnce(int waitMs);

    /*! @brief Makes every connection that is open now silent for good. */
    void silence();

private:
    struct Pair
    {
        int caller{-1};
        int target{-1};
        bool silent{};
    };

    void acceptOne();
    static bool copy(int from, int to);

    std::string m_target;
    int m_listener{-1};
    std::vector<Pair> m_pairs;
};

} // namespace bergamottide::standin
