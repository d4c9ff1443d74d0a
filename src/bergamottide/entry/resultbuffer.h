#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace bergamottide {

/*! @brief What adding a piece to a result came to. */
enum class PieceResult : std::uint8_t
{
    Added,
    /*! @brief Nothing was added: the bytes were there already, or too much waits behind a gap. */
    Repeated,
    /*! @brief The result would grow above its limit; the piece was dropped. */
    TooLarge
};

/**
 * @brief Puts the pieces of one result together by their offsets.
 *
 * Pieces may come late, twice, overlapping or out of order. The first copy of each byte
 * counts; the digest at the end tells if the copies disagreed.
 */
class ResultBuffer
{
public:
    /**
     * @brief Creates an empty buffer.
     * @param limit Largest result in bytes; bounds what a broken endpoint can cost.
     */
    explicit ResultBuffer(std::size_t limit);

    /**
     * @brief Adds a piece.
     * @param offset Position of the piece within the result, in bytes.
     * @param piece Bytes of the piece.
     * @return Whether it was added, known already or refused.
     */
    [[nodiscard]] PieceResult add(std::uint64_t offset, std::string_view piece);

    /**
     * @brief Notes the end of the result.
     * @param length Length of the whole result in bytes.
     * @param digest Its XXH3 digest, 64 bits.
     */
    void finish(std::uint64_t length, std::uint64_t digest);

    /*! @brief Tells if the end is known and no byte is missing. */
    [[nodiscard]] bool whole() const noexcept;

    /*! @brief Tells if length and digest match what was announced. Requires `whole`. */
    [[nodiscard]] bool verified() const;

    /*! @brief Returns the number of bytes held without a gap from the start: where to resume. */
    [[nodiscard]] std::uint64_t contiguous() const noexcept;

    /*! @brief Returns the bytes held without a gap from the start. */
    [[nodiscard]] const std::string &bytes() const noexcept;

    /*! @brief Moves the bytes out; the buffer is of no further use. */
    [[nodiscard]] std::string take();

private:
    void joinWaiting();

    std::size_t m_limit;
    std::string m_bytes;
    /*! @brief Pieces behind a gap, by offset. */
    std::map<std::uint64_t, std::string> m_waiting;
    std::size_t m_waitingBytes{};
    std::optional<std::uint64_t> m_length;
    std::uint64_t m_digest{};
};

} // namespace bergamottide
