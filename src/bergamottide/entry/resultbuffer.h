#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace bergamottide {

/*! @brief Result of adding a piece. */
enum class PieceResult : std::uint8_t
{
    Added,
    /*! @brief Nothing was added: the bytes are known already, or too many bytes are buffered behind a gap. */
    Ignored,
    /*! @brief The piece was dropped because the result would exceed its limit. */
    TooLarge
};

/**
 * @brief Reassembles a result from pieces with offsets.
 *
 * Pieces may be duplicated, overlapping or out of order. The first copy of each byte is
 * kept; `isVerified` detects copies that differ.
 */
class ResultBuffer
{
public:
    /**
     * @brief Creates an empty buffer.
     * @param limit Maximum size of the result in bytes; bounds the memory that a faulty endpoint can use.
     */
    explicit ResultBuffer(std::size_t limit);

    /**
     * @brief Adds a piece.
     * @param offset Position of the piece within the result, in bytes.
     * @param piece Bytes of the piece.
     */
    [[nodiscard]] PieceResult add(std::uint64_t offset, std::string_view piece);

    /**
     * @brief Sets length and digest of the complete result.
     * @param length Length in bytes.
     * @param digest XXH3 digest, 64 bits.
     */
    void finish(std::uint64_t length, std::uint64_t digest);

    /*! @brief Returns whether the length is known and no byte is missing. */
    [[nodiscard]] bool isComplete() const noexcept;

    /*! @brief Returns whether the bytes match length and digest. Requires `isComplete`. */
    [[nodiscard]] bool isVerified() const;

    /*! @brief Returns the number of bytes before the first gap; the offset from which to resume. */
    [[nodiscard]] std::uint64_t contiguousBytes() const noexcept;

    /*! @brief Returns the bytes before the first gap. */
    [[nodiscard]] const std::string &bytes() const noexcept;

    /*! @brief Moves the bytes out; the buffer must not be used afterwards. */
    [[nodiscard]] std::string take();

private:
    void mergeOutOfOrder();

    std::size_t m_limit;
    std::string m_bytes;
    /*! @brief Pieces behind the first gap, by offset. */
    std::map<std::uint64_t, std::string> m_outOfOrder;
    std::size_t m_outOfOrderBytes{};
    std::optional<std::uint64_t> m_length;
    std::uint64_t m_digest{};
};

} // namespace bergamottide
