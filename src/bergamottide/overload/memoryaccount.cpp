#include "bergamottide/overload/memoryaccount.h"

#include <numeric>

namespace bergamottide::overload {

namespace {

/*! @brief Part of the limit that is set aside for the holders. */
constexpr std::size_t ownPartsDivisor = 3;
/*! @brief What a connection and an ordinary request on it need, in bytes. */
constexpr std::size_t ordinaryBytes = 32U << 10U;

std::size_t indexOf(HeldFor purpose) noexcept
{
    return static_cast<std::size_t>(purpose);
}

std::size_t sumOf(const std::array<std::size_t, heldForCount> &held) noexcept
{
    return std::accumulate(held.begin(), held.end(), std::size_t{0});
}

} // namespace

MemoryAccount::Holder::Holder(MemoryAccount &account) noexcept
    : m_account{account}
{
}

MemoryAccount::Holder::~Holder()
{
    m_account.m_shared -= m_account.beyondOwnPart(held());
    for (std::size_t purpose = 0; purpose < heldForCount; ++purpose) {
        m_account.m_held[purpose] -= m_held[purpose];
    }
}

bool MemoryAccount::Holder::resize(HeldFor purpose, std::size_t bytes) noexcept
{
    const std::size_t before = m_held[indexOf(purpose)];
    if (bytes > before) {
        if (bytes > m_account.m_limit) {
            return false;
        }
        const std::size_t present = m_account.beyondOwnPart(held());
        const std::size_t wanted = m_account.beyondOwnPart(held() - before + bytes);
        const std::size_t others = m_account.m_shared - present;
        const bool fits = wanted == 0 || others + 2 * wanted <= m_account.sharedLimit();
        if (wanted > present && !fits) {
            return false;
        }
    }
    record(purpose, bytes);
    return true;
}

void MemoryAccount::Holder::record(HeldFor purpose, std::size_t bytes) noexcept
{
    std::size_t &slot = m_held[indexOf(purpose)];
    m_account.m_shared -= m_account.beyondOwnPart(held());
    m_account.m_held[indexOf(purpose)] += bytes;
    m_account.m_held[indexOf(purpose)] -= slot;
    slot = bytes;
    m_account.m_shared += m_account.beyondOwnPart(held());
}

std::size_t MemoryAccount::Holder::held(HeldFor purpose) const noexcept
{
    return m_held[indexOf(purpose)];
}

std::size_t MemoryAccount::Holder::held() const noexcept
{
    return sumOf(m_held);
}

MemoryAccount::MemoryAccount(std::size_t limit, std::size_t maxHolders) noexcept
    : m_limit{limit}
    , m_ownPart{limit / ownPartsDivisor / maxHolders}
{
}

std::size_t MemoryAccount::mostHolders(std::size_t limit) noexcept
{
    return limit / ownPartsDivisor / ordinaryBytes;
}

std::size_t MemoryAccount::limit() const noexcept
{
    return m_limit;
}

std::size_t MemoryAccount::mostForOne() const noexcept
{
    return m_ownPart + sharedLimit() / 2;
}

std::size_t MemoryAccount::held(HeldFor purpose) const noexcept
{
    return m_held[indexOf(purpose)];
}

std::size_t MemoryAccount::held() const noexcept
{
    return sumOf(m_held);
}

bool MemoryAccount::isScarce() const noexcept
{
    return m_shared > sharedLimit() / 2;
}

std::size_t MemoryAccount::ownPart() const noexcept
{
    return m_ownPart;
}

std::size_t MemoryAccount::sharedLimit() const noexcept
{
    return m_limit - m_limit / ownPartsDivisor;
}

std::size_t MemoryAccount::beyondOwnPart(std::size_t held) const noexcept
{
    return held > m_ownPart ? held - m_ownPart : 0;
}

} // namespace bergamottide::overload
