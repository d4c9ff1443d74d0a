#include "bergamottide/net/serverconnection.h"

#include "bergamottide/net/requestframing.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <string>
#include <utility>

#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <linux/sockios.h>

namespace bergamottide::internal {

namespace {

/*! @brief Least room that a read is given, in bytes; h2o's own. */
constexpr std::size_t minReadBytes = 4096;
/*! @brief Most bytes read before other connections get their turn. */
constexpr std::size_t maxReadBytes = 64U << 10U;
/*! @brief Bytes charged for a connection: what h2o, the kernel's bookkeeping and this class keep. */
constexpr std::size_t connectionBytes = 8U << 10U;
/*! @brief The same of an encrypted connection, with the records and keys of OpenSSL. */
constexpr std::size_t encryptedBytes = 48U << 10U;
/*! @brief Bytes discarded for a rejected caller, so that its response is not lost with a reset. */
constexpr std::size_t maxDiscardedBytes = 1U << 20U;
/*! @brief Longest time for which a rejected caller may go on sending. */
constexpr Duration discardTime = std::chrono::seconds{1};
constexpr Duration pacePeriod = std::chrono::seconds{2};
/*! @brief Consecutive periods for which a caller may be too slow; a single one while memory is scarce. */
constexpr int patientPeriods = 5;
/*! @brief Growth of the unfinished requests of an HTTP/2 connection after which they are looked for again. */
constexpr std::size_t http2CheckBytes = 64U << 10U;

/*! @brief Returns the capacity of a buffer of h2o with room for more bytes; h2o doubles it. */
std::size_t capacityWith(const h2o_buffer_t &buffer, std::size_t bytes)
{
    if (buffer.bytes == nullptr) {
        return std::max<std::size_t>(bytes, H2O_SOCKET_INITIAL_INPUT_BUFFER_SIZE);
    }
    std::size_t capacity = buffer.capacity;
    while (capacity - buffer.size < bytes) {
        capacity *= 2;
    }
    return capacity;
}

std::size_t capacityOf(const h2o_buffer_t &buffer)
{
    return buffer.bytes == nullptr ? 0 : buffer.capacity;
}

std::string_view contentOf(const h2o_buffer_t &buffer)
{
    return {buffer.bytes, buffer.size};
}

std::string_view rejectionOf(CallerRefusal refusal)
{
    switch (refusal) {
    case CallerRefusal::RequestMemory:
        return "HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
    case CallerRefusal::HeadTooLarge:
        return "HTTP/1.1 431 Request Header Fields Too Large\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
    case CallerRefusal::FramingAmbiguous:
        return "HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
    case CallerRefusal::HeadTooSlow:
    case CallerRefusal::BodyTooSlow:
        return "HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
    case CallerRefusal::ResponseMemory:
    case CallerRefusal::ReaderTooSlow:
    case CallerRefusal::ConnectionReplaced:
    case CallerRefusal::TooManyConnections:
        break;
    }
    return {};
}

} // namespace

ServerConnection::ServerConnection(h2o_socket_t *socket, bool isEncrypted, const ConnectionContext &context)
    : m_socket{socket}
    , m_isEncrypted{isEncrypted}
    , m_context{context}
    , m_holder{context.memory}
    , m_since{context.loop.now()}
    , m_paceSince{context.loop.now()}
{
    m_isCharged = m_holder.resize(overload::HeldFor::Connection, isEncrypted ? encryptedBytes : connectionBytes);
    socket->on_close.cb = &ServerConnection::onClosed;
    socket->on_close.data = this;
    h2o_socket_dont_read(socket, isEncrypted ? 0 : 1);
}

ServerConnection &ServerConnection::of(const h2o_socket_t *socket)
{
    return *static_cast<ServerConnection *>(socket->on_close.data);
}

bool ServerConnection::isCharged() const noexcept
{
    return m_isCharged;
}

void ServerConnection::guard()
{
    if (m_socket == nullptr || m_socket->_cb.read == nullptr || m_socket->_cb.read == &ServerConnection::onReadable) {
        return;
    }
    m_reader = std::exchange(m_socket->_cb.read, &ServerConnection::onReadable);
    const auto self = shared_from_this();
    settle();
}

bool ServerConnection::beginRequest(std::size_t bytes)
{
    m_expectedCopy = 0;
    m_isChunked = false;
    if (isHttp2()) {
        forgetFinishedRequests(m_context.hasUnfinishedRequest);
    } else {
        enter(Phase::Processing);
    }
    m_copies += bytes;
    if (chargeRequest(capacityOf(*m_socket->input))) {
        return true;
    }
    m_copies -= bytes;
    m_context.onRefused(CallerRefusal::RequestMemory);
    return false;
}

void ServerConnection::endRequest(std::size_t bytes)
{
    m_copies -= bytes;
    if (m_phase == Phase::Processing) {
        enter(Phase::Idle);
    }
}

bool ServerConnection::chargeResponse(std::size_t before, std::size_t after)
{
    const std::size_t others = m_holder.held(overload::HeldFor::Response) - before;
    return m_holder.resize(overload::HeldFor::Response, others + after);
}

void ServerConnection::setUnsent(std::size_t before, std::size_t after)
{
    m_unsentBytes += after;
    m_unsentBytes -= before;
}

void ServerConnection::recordSent(std::size_t bytes)
{
    m_sentBytes += bytes;
}

bool ServerConnection::isIdle() const noexcept
{
    return m_phase == Phase::Idle && m_unfinishedBytes == 0 && m_copies == 0 && m_unsentBytes == 0;
}

bool ServerConnection::isReceiving() const noexcept
{
    const bool isHttp2Receiving = m_unfinishedBytes != 0 && m_copies == 0 && m_unsentBytes == 0;
    return m_phase == Phase::Head || m_phase == Phase::Body || m_phase == Phase::Refused || isHttp2Receiving;
}

TimePoint ServerConnection::since() const noexcept
{
    return m_since;
}

void ServerConnection::close()
{
    if (m_socket == nullptr) {
        return;
    }
    const auto self = shared_from_this();
    if (m_socket->_cb.read == &ServerConnection::onReadable) {
        m_reader(m_socket, h2o_socket_error_closed);
        return;
    }
    // h2o sees the end with its next write.
    ::shutdown(h2o_socket_get_fd(m_socket), SHUT_RDWR);
}

void ServerConnection::onReadable(h2o_socket_t *socket, const char *error)
{
    const auto self = of(socket).shared_from_this();
    self->handleReadable(error);
}

void ServerConnection::onClosed(void *data)
{
    auto &self = *static_cast<ServerConnection *>(data);
    h2o_socket_t *socket = std::exchange(self.m_socket, nullptr);
    self.m_context.onClosed(socket);
}

void ServerConnection::handleReadable(const char *error)
{
    if (m_phase == Phase::Refused) {
        discard(error);
        return;
    }
    if (error == nullptr && !m_isEncrypted) {
        const std::size_t before = m_socket->input->size;
        error = readPiece();
        if (m_phase == Phase::Refused || (error == nullptr && m_socket->input->size == before)) {
            return;
        }
    }
    m_hasDecrypted = m_hasDecrypted || m_socket->input->size != 0;
    if (error == nullptr) {
        m_receivedBytes += m_socket->bytes_read;
        if (!admitPiece()) {
            return;
        }
    }
    callReader(error);
}

/*! @brief Reads what there is room for; returns an error of h2o's or null. */
const char *ServerConnection::readPiece()
{
    m_socket->bytes_read = 0;
    if (!chargeRequest(capacityWith(*m_socket->input, minReadBytes))) {
        refuse(CallerRefusal::RequestMemory);
        return nullptr;
    }
    const h2o_iovec_t room = h2o_buffer_reserve(&m_socket->input, minReadBytes);
    ssize_t got = 0;
    do {
        got = ::read(h2o_socket_get_fd(m_socket), room.base, std::min(room.len, maxReadBytes));
    } while (got < 0 && errno == EINTR);
    if (got < 0) {
        return errno == EAGAIN || errno == EWOULDBLOCK ? nullptr : h2o_socket_error_io;
    }
    if (got == 0) {
        return h2o_socket_error_closed;
    }
    m_socket->input->size += static_cast<std::size_t>(got);
    m_socket->bytes_read = static_cast<std::size_t>(got);
    return nullptr;
}

/*! @brief Charges what a piece announces; returns false if the request is rejected. */
bool ServerConnection::admitPiece()
{
    if (isHttp2()) {
        return admitHttp2();
    }
    if (m_socket->input->size == 0) {
        return true;
    }
    if (m_phase == Phase::Idle) {
        enter(Phase::Head);
        m_searched = 0;
    }
    if (m_phase == Phase::Head && !admitHead()) {
        return false;
    }
    if (m_isChunked) {
        m_expectedCopy = m_socket->input->size;
    }
    if (chargeRequest(capacityOf(*m_socket->input))) {
        return true;
    }
    refuse(CallerRefusal::RequestMemory);
    return false;
}

bool ServerConnection::admitHead()
{
    const std::string_view input = contentOf(*m_socket->input);
    const std::size_t end = headEnd(input, std::exchange(m_searched, input.size()));
    if (std::min(end, input.size()) > m_context.limits.maxHeadBytes) {
        refuse(CallerRefusal::HeadTooLarge);
        return false;
    }
    if (end == std::string_view::npos) {
        return true;
    }
    const auto body = announcedBody(input);
    if (!body) {
        refuse(CallerRefusal::FramingAmbiguous);
        return false;
    }
    enter(Phase::Body);
    m_isChunked = body->isChunked;
    // h2o rejects a larger body unread.
    m_expectedCopy = body->bytes > m_context.limits.maxBodyBytes ? 0 : body->bytes;
    if (chargeRequest(capacityWith(*m_socket->input, m_expectedCopy))) {
        return true;
    }
    refuse(CallerRefusal::RequestMemory);
    return false;
}

bool ServerConnection::admitHttp2()
{
    m_unfinishedBytes += m_socket->bytes_read;
    if (m_unfinishedBytes - m_checkedUnfinishedBytes > http2CheckBytes) {
        forgetFinishedRequests(m_context.hasUnfinishedRequest);
    }
    if (chargeRequest(capacityOf(*m_socket->input))) {
        return true;
    }
    m_context.onRefused(CallerRefusal::RequestMemory);
    close();
    return false;
}

void ServerConnection::forgetFinishedRequests(const std::function<bool(const h2o_conn_t *connection)> &hasUnfinished)
{
    if (m_socket == nullptr || m_unfinishedBytes == 0) {
        return;
    }
    // Replies to frames wait for the write; they are no longer than the frames.
    const bool isKept =
        h2o_socket_is_writing(m_socket) != 0 || hasUnfinished(static_cast<const h2o_conn_t *>(m_socket->data));
    m_unfinishedBytes = isKept ? m_unfinishedBytes : 0;
    m_checkedUnfinishedBytes = m_unfinishedBytes;
}

void ServerConnection::callReader(const char *error)
{
    m_reader(m_socket, error);
    if (m_socket == nullptr) {
        return;
    }
    guard();
    if (m_socket != nullptr && m_phase != Phase::Refused) {
        settle();
    }
}

/*! @brief Charges what h2o keeps now, and sees a request that h2o has begun to read by itself. */
void ServerConnection::settle()
{
    if (isHttp2() && m_phase != Phase::Idle) {
        enter(Phase::Idle);
    }
    if (m_phase == Phase::Idle && !isHttp2() && m_socket->input->size != 0) {
        enter(Phase::Head);
        m_searched = 0;
        if (!admitHead()) {
            return;
        }
    }
    if (chargeRequest(capacityOf(*m_socket->input))) {
        return;
    }
    // At most what one read has brought.
    m_holder.record(overload::HeldFor::Request,
                    capacityOf(*m_socket->input) + m_expectedCopy + m_copies + m_unfinishedBytes);
    if (m_phase == Phase::Head || m_phase == Phase::Body) {
        refuse(CallerRefusal::RequestMemory);
    }
}

bool ServerConnection::chargeRequest(std::size_t inputCapacity)
{
    return m_holder.resize(overload::HeldFor::Request, inputCapacity + m_expectedCopy + m_copies + m_unfinishedBytes);
}

/*! @brief Discards what a rejected caller still sends, and closes once it has closed or sent too much. */
void ServerConnection::discard(const char *error)
{
    if (error == nullptr && !m_isEncrypted) {
        std::array<char, minReadBytes> bytes{};
        const ssize_t got = ::read(h2o_socket_get_fd(m_socket), bytes.data(), bytes.size());
        m_discardedBytes += static_cast<std::size_t>(std::max<ssize_t>(got, 0));
        if (got > 0 && m_discardedBytes < maxDiscardedBytes) {
            return;
        }
        if (got < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
    }
    close();
}

/*! @brief Rejects a request that is not complete, or breaks off a response. */
void ServerConnection::refuse(CallerRefusal refusal)
{
    m_context.onRefused(refusal);
    const std::string_view rejection = rejectionOf(refusal);
    const bool isReading = m_socket->_cb.read == &ServerConnection::onReadable;
    if (rejection.empty() || !isReading || m_isEncrypted || isHttp2() || m_phase == Phase::Processing) {
        close();
        return;
    }
    const int descriptor = h2o_socket_get_fd(m_socket);
    // Fits into an empty send buffer; a caller that has not taken its former responses does without.
    static_cast<void>(::send(descriptor, rejection.data(), rejection.size(), MSG_NOSIGNAL | MSG_DONTWAIT));
    ::shutdown(descriptor, SHUT_WR);
    h2o_buffer_dispose(&m_socket->input);
    h2o_buffer_init(&m_socket->input, &h2o_socket_buffer_prototype);
    m_expectedCopy = 0;
    m_isChunked = false;
    enter(Phase::Refused);
    m_holder.record(overload::HeldFor::Request, m_copies);
}

void ServerConnection::review(TimePoint now)
{
    if (m_socket == nullptr) {
        return;
    }
    const auto self = shared_from_this();
    reviewPhase(now);
    if (m_socket != nullptr && now - m_paceSince >= pacePeriod) {
        reviewPace(now);
    }
}

void ServerConnection::reviewPhase(TimePoint now)
{
    const Duration time = now - m_since;
    const bool isIdleTooLong =
        m_phase == Phase::Idle && !isHttp2() && m_unsentBytes == 0 && time >= m_context.limits.idleTimeout;
    const bool isDiscardedTooLong = m_phase == Phase::Refused && time >= discardTime;
    if (isIdleTooLong || isDiscardedTooLong) {
        close();
        return;
    }
    if (m_phase == Phase::Head && time >= m_context.limits.headTimeout) {
        refuse(CallerRefusal::HeadTooSlow);
    }
}

void ServerConnection::reviewPace(TimePoint now)
{
    const std::int64_t moved = movedBytes();
    const double seconds = std::chrono::duration<double>(now - m_paceSince).count();
    const bool isSlow = waitsForCaller()
        && static_cast<double>(moved - m_movedBefore)
            < seconds * static_cast<double>(m_context.limits.minBytesPerSecond);
    m_slowReviews = isSlow ? m_slowReviews + 1 : 0;
    m_movedBefore = moved;
    m_paceSince = now;
    if (m_slowReviews == 0 || (m_slowReviews < patientPeriods && !m_context.memory.isScarce())) {
        return;
    }
    m_slowReviews = 0;
    refuse(m_unsentBytes != 0 ? CallerRefusal::ReaderTooSlow : CallerRefusal::BodyTooSlow);
}

bool ServerConnection::waitsForCaller() const noexcept
{
    return m_phase == Phase::Body || m_unsentBytes != 0 || m_unfinishedBytes != 0;
}

/*! @brief Returns the bytes that the caller has sent and taken since the connection began. */
std::int64_t ServerConnection::movedBytes() const
{
    int queued = 0;
    if (m_unsentBytes == 0 || ioctl(h2o_socket_get_fd(m_socket), SIOCOUTQ, &queued) != 0) {
        queued = 0;
    }
    return static_cast<std::int64_t>(m_receivedBytes + m_sentBytes) - queued;
}

bool ServerConnection::isHttp2() const
{
    if (m_isEncrypted && !m_hasDecrypted) {
        return false;
    }
    if (m_isEncrypted) {
        const h2o_iovec_t protocol = h2o_socket_ssl_get_selected_protocol(m_socket);
        return std::string_view{protocol.base, protocol.len} == "h2";
    }
    // Only HTTP/2 pushes.
    const auto *connection = static_cast<const h2o_conn_t *>(m_socket->data);
    return m_reader != nullptr && connection->callbacks->push_path != nullptr;
}

void ServerConnection::enter(Phase phase)
{
    m_phase = phase;
    m_since = m_context.loop.now();
    m_paceSince = m_since;
    m_slowReviews = 0;
    if (m_socket != nullptr) {
        m_movedBefore = movedBytes();
    }
}

} // namespace bergamottide::internal
