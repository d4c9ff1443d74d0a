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
        return PieceResult::Repeated;
    }
    if (offset > m_bytes.size() && m_waitingBytes + piece.size() > m_limit) {
        // Overlapping pieces behind a gap; what is dropped here is asked for again.
        return PieceResult::Repeated;
    }
    if (offset > m_bytes.size()) {
        std::string &waiting = m_waiting[offset];
        if (waiting.size() >= piece.size()) {
            return PieceResult::Repeated;
        }
        m_waitingBytes += piece.size() - waiting.size();
        waiting.assign(piece);
        return PieceResult::Added;
    }
    m_bytes.append(piece.substr(m_bytes.size() - offset));
    joinWaiting();
    return PieceResult::Added;
}

void ResultBuffer::joinWaiting()
{
    while (!m_waiting.empty() && m_waiting.begin()->first <= m_bytes.size()) {
        const auto node = m_waiting.extract(m_waiting.begin());
        const std::string &piece = node.mapped();
        const std::uint64_t known = m_bytes.size() - node.key();
        m_waitingBytes -= piece.size();
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

bool ResultBuffer::whole() const noexcept
{
    return m_length && m_bytes.size() >= *m_length;
}

bool ResultBuffer::verified() const
{
    return m_length == m_bytes.size() && XXH3_64bits(m_bytes.data(), m_bytes.size()) == m_digest;
}

std::uint64_t ResultBuffer::contiguous() const noexcept
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
