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
 * @brief Parses the platform's instance list.
 *
 * `{"revision": N, "instances": [{"name", "role", "region", "zone", "address", "pool", "leaving"}]}`.
 * Unknown fields are ignored, so that the platform can add some.
 *
 * @param text JSON text.
 * @return The instances, or `Reason::MalformedBody` with the invalid field.
 */
[[nodiscard]] absl::StatusOr<InstanceView> parseInstanceList(std::string_view text);

/*! @brief Callbacks of the instance list's client. */
struct InstanceClientHooks
{
    /*! @brief A newer list was received. */
    std::function<void(std::shared_ptr<const InstanceView> view)> view;
    /*! @brief Optional: a read failed, or its list was rejected. */
    std::function<void(const absl::Status &error)> failed;
    /*! @brief Optional: the platform confirmed that there is no newer list. */
    std::function<void()> unchanged;
};

/*! @brief Watches the instance list: `GET /v1/instances?after=REVISION&wait_ms=N`. */
class InstanceClient
{
public:
    /**
     * @brief Creates a client; `start` begins reading.
     * @param loop Event loop; must outlive the client.
     * @param address IP address and port of the service, `ip:port`.
     * @param seed Seed of the backoff's jitter.
     * @param hooks Callbacks.
     */
    InstanceClient(Loop &loop, const std::string &address, std::uint64_t seed, InstanceClientHooks hooks);

    /*! @brief Starts reading the instance list. */
    void start();

    /*! @brief Returns the counters since the start. */
    [[nodiscard]] const LongPollCounts &counts() const noexcept;

private:
    absl::StatusOr<std::uint64_t> handleList(const HttpResponse &answer);

    InstanceClientHooks m_hooks;
    std::uint64_t m_revision{};
    LongPoll m_poll;
};

} // namespace bergamottide
