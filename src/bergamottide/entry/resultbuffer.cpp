#include "bergamottide/entry/resultbuffer.h"

#include <xxhash.h>

#include <utility>

namespace bergamottide {

ResultBuffer::ResultBuffer(std::size_t limit)
    : m_limit{limit}
{
}

PieceResult ResultBuffer::add(std::uint64_t offset, std::string_view piece)
{
    if (offset > m_limit || piece.size() > m_limit - offset) {
        return PieceResult::TooLarge;
    }
    if (offset + piece.size() <= m_bytes.size()) {
        return PieceResult::Ignored;
    }
    if (offset > m_bytes.size() && m_outOfOrderBytes + piece.size() > m_limit) {
        // Bounds the memory of overlapping pieces behind a gap; a dropped piece is requested again.
        return PieceResult::Ignored;
    }
    if (offset > m_bytes.size()) {
        std::string &known = m_outOfOrder[offset];
        if (known.size() >= piece.size()) {
            return PieceResult::Ignored;
        }
        m_outOfOrderBytes += piece.size() - known.size();
        known.assign(piece);
        return PieceResult::Added;
    }
    m_bytes.append(piece.substr(m_bytes.size() - offset));
    mergeOutOfOrder();
    return PieceResult::Added;
}

void ResultBuffer::mergeOutOfOrder()
{
    while (!m_outOfOrder.empty() && m_outOfOrder.begin()->first <= m_bytes.size()) {
        const auto node = m_outOfOrder.extract(m_outOfOrder.begin());
        const std::string &piece = node.mapped();
        const std::uint64_t known = m_bytes.size() - node.key();
        m_outOfOrderBytes -= piece.size();
        if (known < piece.size()) {
            m_bytes.append(piece, known);
        }
    }
}

void ResultBuffer::finish(std::uint64_t length, std::uint64_t digest)
{
    m_length = length;
    m_digest = digest;
}

bool ResultBuffer::isComplete() const noexcept
{
    return m_length && m_bytes.size() >= *m_length;
}

bool ResultBuffer::isVerified() const
{
    return m_length == m_bytes.size() && XXH3_64bits(m_bytes.data(), m_bytes.size()) == m_digest;
}

std::uint64_t ResultBuffer::contiguousBytes() const noexcept
{
    return m_bytes.size();
}

const std::string &ResultBuffer::bytes() const noexcept
{
    return m_bytes;
}

std::string ResultBuffer::take()
{
    return std::move(m_bytes);
}

} // namespace bergamottide
