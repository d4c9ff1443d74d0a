#pragma once

#include "bergamottide/membership/instanceview.h"
#include "bergamottide/platform/longpoll.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace bergamottide {

/**
 * @brief Reads an instance list as the platform writes it.
 *
 * `{"revision": N, "instances": [{"name", "role", "region", "zone", "address", "pool", "leaving"}]}`.
 * Fields that are not known are skipped, as the list belongs to the platform and may grow.
 *
 * @param text JSON text.
 * @return The view, or `Reason::MalformedBody` with the field at fault.
 */
[[nodiscard]] absl::StatusOr<InstanceView> readInstanceList(std::string_view text);

/*! @brief Hooks of the instance list's client. */
struct InstanceClientHooks
{
    /*! @brief A newer list has come. */
    std::function<void(std::shared_ptr<const InstanceView> view)> view;
    /*! @brief Optional: a read has failed or its list was not accepted. */
    std::function<void(const absl::Status &error)> failed;
    /*! @brief Optional: the platform has confirmed that there is nothing newer. */
    std::function<void()> unchanged;
};

/*! @brief Watches the instance list: `GET /v1/instances?after=REVISION&wait_ms=N`. */
class InstanceClient
{
public:
    /**
     * @brief Creates a client that does not read yet.
     * @param loop Loop it runs on; outlives the client.
     * @param address IP number and port of the list, `ip:port`.
     * @param seed Seed of the jitter.
     * @param hooks Called for each read.
     */
    InstanceClient(Loop &loop, const std::string &address, std::uint64_t seed, InstanceClientHooks hooks);

    /*! @brief Starts to read. */
    void start();

    /*! @brief Returns the counts since the start. */
    [[nodiscard]] const LongPollCounts &counts() const noexcept;

private:
    absl::StatusOr<std::uint64_t> take(const HttpAnswer &answer);

    InstanceClientHooks m_hooks;
    std::uint64_t m_revision{};
    LongPoll m_poll;
};

} // namespace bergamottide
