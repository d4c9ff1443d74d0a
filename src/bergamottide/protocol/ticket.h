#pragma once

#include "bergamottide/core/fwd.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace bergamottide {

/*! @brief What a caller holds to reach its request again through any entry. */
struct Ticket
{
    RequestId request;
    WorkspaceName workspace;
    /*! @brief Instance whose ledger holds the request. */
    InstanceName home;
    Incarnation incarnation{};
    Serial serial{};

    [[nodiscard]] bool operator==(const Ticket &) const = default;
};

/*! @brief Key that authenticates tickets. */
struct TicketKey
{
    /*! @brief Short name of the key, carried in the ticket. */
    std::string id;
    /*! @brief Secret, at least 16 bytes. */
    std::string secret;
};

/**
 * @brief Writes tickets as text and reads them back, authenticated with HMAC-SHA-256.
 *
 * The first key signs; every key verifies, so that keys rotate with two in force.
 */
class TicketCodec
{
public:
    /**
     * @brief Takes the keys.
     * @param keys One or more keys, the signing one first.
     */
    explicit TicketCodec(std::vector<TicketKey> keys);

    /**
     * @brief Writes a ticket.
     * @param ticket Ticket to write.
     * @return Text of URL-safe characters.
     */
    [[nodiscard]] std::string write(const Ticket &ticket) const;

    /**
     * @brief Reads a ticket.
     * @param text Text from a caller.
     * @return The ticket, or `Reason::UnknownTicket` if the text is malformed, forged or signed by a key not in force.
     */
    [[nodiscard]] absl::StatusOr<Ticket> read(std::string_view text) const;

private:
    std::vector<TicketKey> m_keys;
};

} // namespace bergamottide
