#pragma once

#include <random>
#include <set>
#include <string>

namespace bergamottide::test {

/*! @brief Draws addresses for processes that are told their ports, below the ports of outgoing connections. */
class FreeAddresses
{
public:
    /*! @brief Creates a source; each process draws in another order. */
    FreeAddresses();

    /*! @brief Returns a loopback address that is free now and has not been returned before. */
    [[nodiscard]] std::string next();

private:
    std::mt19937 m_random;
    std::set<std::string> m_returned;
};

} // namespace bergamottide::test
