#pragma once

#include "bergamottide/core/enumnames.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace bergamottide {

namespace overload {

/*! @brief What memory is held for. */
enum class HeldFor : std::uint8_t
{
    /*! @brief A connection itself, with the kernel's buffers left out. */
    Connection,
    /*! @brief Bytes received from a caller, or announced by it. */
    Request,
    /*! @brief Bytes that a caller has yet to take. */
    Response
};

inline constexpr std::size_t heldForCount = 3;

} // namespace overload

template <>
struct EnumNames<overload::HeldFor>
{
    static constexpr std::array<std::string_view, overload::heldForCount> names{"connection", "request", "response"};
};

namespace overload {

/**
 * @brief Bounds the memory that a process holds for its callers, in both directions.
 *
 * Every byte is charged before it is kept. A third of the limit is set aside in equal parts for as many holders as
 * there may be, so whoever needs little finds room, however many others hold as much as they can. The rest is shared: a
 * holder may grow beyond its part as long as no less than that stays free. So one alone may have half of what is
 * shared, and several have the less each.
 */
class MemoryAccount
{
public:
    /**
     * @brief Charges of one holder, such as a connection; they are returned when it is destroyed.
     */
    class Holder
    {
    public:
        /*! @brief Creates a holder without charges; the account outlives it. */
        explicit Holder(MemoryAccount &account) noexcept;
        Holder(const Holder &) = delete;
        Holder &operator=(const Holder &) = delete;
        ~Holder();

        /**
         * @brief Changes what is held for a purpose.
         * @param purpose Purpose.
         * @param bytes Bytes held for it from now on.
         * @return Whether there is room; if not, nothing changes. Less than before always has room.
         */
        [[nodiscard]] bool resize(HeldFor purpose, std::size_t bytes) noexcept;

        /*! @brief Raises what is held for a purpose even without room, for bytes that are there already. */
        void record(HeldFor purpose, std::size_t bytes) noexcept;

        /*! @brief Returns the bytes held for a purpose. */
        [[nodiscard]] std::size_t held(HeldFor purpose) const noexcept;

        /*! @brief Returns the bytes held for all purposes. */
        [[nodiscard]] std::size_t held() const noexcept;

    private:
        MemoryAccount &m_account;
        std::array<std::size_t, heldForCount> m_held{};
    };

    /**
     * @brief Creates an account of which nothing is held.
     * @param limit Largest sum of all charges, in bytes.
     * @param maxHolders Largest number of holders at a time, above zero; with more of them the limit may be exceeded.
     */
    MemoryAccount(std::size_t limit, std::size_t maxHolders) noexcept;
    MemoryAccount(const MemoryAccount &) = delete;
    MemoryAccount &operator=(const MemoryAccount &) = delete;

    /*!
     * @brief Returns the largest number of holders whose parts each have room for a connection with an ordinary
     * request.
     * @param limit Largest sum of all charges, in bytes.
     */
    [[nodiscard]] static std::size_t mostHolders(std::size_t limit) noexcept;

    /*! @brief Returns the largest sum of all charges, in bytes. */
    [[nodiscard]] std::size_t limit() const noexcept;

    /*! @brief Returns the most that one holder may hold while there is no other, in bytes. */
    [[nodiscard]] std::size_t mostForOne() const noexcept;

    /*! @brief Returns what each holder may hold whatever the others hold, in bytes. */
    [[nodiscard]] std::size_t ownPart() const noexcept;

    /*! @brief Returns the bytes held for a purpose, over all holders. */
    [[nodiscard]] std::size_t held(HeldFor purpose) const noexcept;

    /*! @brief Returns the bytes held for all purposes, over all holders. */
    [[nodiscard]] std::size_t held() const noexcept;

    /*! @brief Returns whether less than half of what is shared is free. */
    [[nodiscard]] bool isScarce() const noexcept;

private:
    [[nodiscard]] std::size_t sharedLimit() const noexcept;
    [[nodiscard]] std::size_t beyondOwnPart(std::size_t held) const noexcept;

    std::size_t m_limit;
    std::size_t m_ownPart;
    /*! @brief Bytes that holders hold beyond their own parts. */
    std::size_t m_shared{};
    std::array<std::size_t, heldForCount> m_held{};
};

} // namespace overload

} // namespace bergamottide
