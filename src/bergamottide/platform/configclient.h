#pragma once

#include "bergamottide/platform/longpoll.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <string>

namespace bergamottide {

/*! @brief Hooks of the configuration client. */
struct ConfigClientHooks
{
    /*! @brief Takes the YAML text of a document; returns its version, or why it is not accepted. */
    std::function<absl::StatusOr<std::uint64_t>(std::string text)> document;
    /*! @brief Optional: a read has failed or its document was not accepted. */
    std::function<void(const absl::Status &error)> failed;
    /*! @brief Optional: the service has confirmed that there is nothing newer. */
    std::function<void()> unchanged;
};

/**
 * @brief Reads and watches the configuration service: `GET /v1/config?after=VERSION&wait_ms=N`.
 *
 * The service answers 200 with the YAML text and its digest in `X-Digest`, or 304. This class
 * alone knows that format. It judges no document: whether one is put in force is decided by
 * the owner of the hooks.
 */
class ConfigClient
{
public:
    /**
     * @brief Creates a client that does not read yet.
     * @param loop Loop it runs on; outlives the client.
     * @param address IP number and port of the service, `ip:port`.
     * @param seed Seed of the jitter.
     * @param hooks Called for each read.
     */
    ConfigClient(Loop &loop, const std::string &address, std::uint64_t seed, ConfigClientHooks hooks);

    /*! @brief Starts to read. */
    void start();

    /*! @brief Stops reading, when the documents come another way. */
    void stop();

    /**
     * @brief Tells the version in force, so that only newer ones are read.
     * @param version Version of a document that came another way.
     */
    void advance(std::uint64_t version);

    /*! @brief Returns the counts since the start. */
    [[nodiscard]] const LongPollCounts &counts() const noexcept;

private:
    ConfigClientHooks m_hooks;
    LongPoll m_poll;
};

} // namespace bergamottide
