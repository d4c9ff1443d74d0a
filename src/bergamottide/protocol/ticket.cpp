#include "bergamottide/protocol/ticket.h"

#include "bergamottide/core/error.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <optional>
#include <utility>

namespace bergamottide {

namespace {

/*! @brief First field of the text; changes with its format. */
constexpr std::string_view formatName = "t1";
/*! @brief Fields of a ticket before its signature. */
constexpr std::size_t fieldCount = 7;
/*! @brief Longest text looked at; a longer one is not ours. */
constexpr std::size_t maxTextLength = 2048;
constexpr char separator = '\n';

std::string sign(const TicketKey &key, std::string_view payload)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), key.secret.data(), static_cast<int>(key.secret.size()),
         reinterpret_cast<const unsigned char *>(payload.data()), payload.size(), digest.data(), &length);
    return std::string{reinterpret_cast<const char *>(digest.data()), length};
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string payloadOf(const Ticket &ticket, const std::string &keyId)
{
    return absl::StrCat(absl::string_view{formatName.data(), formatName.size()}, "\n", keyId, "\n",
                        ticket.request.text(), "\n", ticket.workspace.text(), "\n", ticket.home.text(), "\n",
                        static_cast<std::uint64_t>(ticket.incarnation), "\n",
                        static_cast<std::uint64_t>(ticket.serial));
}

std::optional<Ticket> fromFields(const std::vector<std::string> &fields)
{
    const auto request = RequestId::parse(fields[2]);
    std::uint64_t incarnation = 0;
    std::uint64_t serial = 0;
    if (!request || !absl::SimpleAtoi(fields[5], &incarnation) || !absl::SimpleAtoi(fields[6], &serial)) {
        return std::nullopt;
    }
    return Ticket{*request, WorkspaceName{fields[3]}, InstanceName{fields[4]}, Incarnation{incarnation},
                  Serial{serial}};
}

absl::Status refused()
{
    return makeError(Reason::UnknownTicket, "ticket", "The ticket is malformed or not signed by a key in force.");
}

} // namespace

TicketCodec::TicketCodec(std::vector<TicketKey> keys)
    : m_keys{std::move(keys)}
{
}

std::string TicketCodec::write(const Ticket &ticket) const
{
    const TicketKey &key = m_keys.front();
    const std::string payload = payloadOf(ticket, key.id);
    return absl::StrCat(absl::WebSafeBase64Escape(payload), ".", absl::WebSafeBase64Escape(sign(key, payload)));
}

absl::StatusOr<Ticket> TicketCodec::read(std::string_view text) const
{
    const std::vector<std::string> halves = text.size() <= maxTextLength
        ? absl::StrSplit(absl::string_view{text.data(), text.size()}, '.')
        : std::vector<std::string>{};
    std::string payload;
    std::string signature;
    if (halves.size() != 2 || !absl::WebSafeBase64Unescape(halves[0], &payload)
        || !absl::WebSafeBase64Unescape(halves[1], &signature)) {
        return refused();
    }
    const std::vector<std::string> fields = absl::StrSplit(payload, separator);
    if (fields.size() != fieldCount || fields[0] != formatName) {
        return refused();
    }
    for (const TicketKey &key : m_keys) {
        if (key.id != fields[1] || !equalInConstantTime(sign(key, payload), signature)) {
            continue;
        }
        const auto ticket = fromFields(fields);
        return ticket ? absl::StatusOr<Ticket>{*ticket} : absl::StatusOr<Ticket>{refused()};
    }
    return refused();
}

} // namespace bergamottide
