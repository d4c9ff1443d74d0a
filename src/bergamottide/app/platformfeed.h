#pragma once

#include "bergamottide/config/store.h"
#include "bergamottide/membership/instanceview.h"
#include "bergamottide/net/loop.h"
#include "bergamottide/platform/configclient.h"
#include "bergamottide/platform/instanceclient.h"
#include "bergamottide/telemetry/logline.h"
#include "bergamottide/telemetry/metric.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace bergamottide {

/*! @brief Where the platform is read, and the start of the jitter. */
struct PlatformFeedOptions
{
    /*! @brief Configuration service, `ip:port`. */
    std::string configService;
    /*! @brief Instance list, `ip:port`. */
    std::string instanceList;
    std::uint64_t seed{};
};

/*! @brief Hooks of the feed; called on the loop's thread. */
struct PlatformFeedHooks
{
    /*! @brief A document is in force from now on. */
    std::function<void(std::shared_ptr<const Document> document, std::uint64_t digest)> document;
    std::function<void(std::shared_ptr<const InstanceView> view)> view;
    std::function<void(AuditRecord record)> audit;
    std::function<void(LogLine line)> log;
    std::function<void(Observe observation)> observe;
};

/**
 * @brief What a process knows from the platform: the document in force and the instance view.
 *
 * A document is put in force only if it is valid and newer; the one in force stays through
 * everything else. The same version with another content is refused and alarmed, as two
 * processes could otherwise follow different documents under one number.
 */
class PlatformFeed
{
public:
    /**
     * @brief Creates a feed that does not read yet.
     * @param loop Loop it runs on; outlives the feed.
     * @param options Addresses.
     * @param hooks Called for each change.
     */
    PlatformFeed(Loop &loop, const PlatformFeedOptions &options, PlatformFeedHooks hooks);

    /*! @brief Starts to read. */
    void start();

    /*! @brief Observes version and age of the document in force, before the metrics are read. */
    void observe();

    /*! @brief Returns the version in force; zero before the first. */
    [[nodiscard]] std::uint64_t version() const noexcept;

    /*! @brief Returns the digest of the document in force. */
    [[nodiscard]] std::uint64_t digest() const noexcept;

    /*! @brief Returns the revision of the instance view; zero before the first. */
    [[nodiscard]] std::uint64_t revision() const noexcept;

    /*! @brief Returns the time since the platform last confirmed the document in force, or nothing before that. */
    [[nodiscard]] std::optional<Duration> confirmedAge() const;

    /*! @brief Returns the counts of reads of the configuration service. */
    [[nodiscard]] const LongPollCounts &configCounts() const noexcept;

    /*! @brief Returns the counts of reads of the instance list. */
    [[nodiscard]] const LongPollCounts &instanceCounts() const noexcept;

private:
    absl::StatusOr<std::uint64_t> takeDocument(const std::string &text);
    absl::Status refuse(const std::string &text, const Verdict &verdict);
    void putInForce(const Verdict &verdict, const char *cause);
    void takeView(std::shared_ptr<const InstanceView> view);
    void readFailed(const char *source, const absl::Status &error);

    Loop &m_loop;
    PlatformFeedHooks m_hooks;
    ConfigClient m_config;
    InstanceClient m_instances;
    ConfigStore m_store;
    std::uint64_t m_revision{};
    std::optional<TimePoint> m_confirmed;
    /*! @brief Digest of the text refused last, so that one that is read again is recorded once. */
    std::uint64_t m_refusedText{};
};

} // namespace bergamottide
