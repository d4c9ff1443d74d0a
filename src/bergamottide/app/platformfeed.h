#pragma once

#include "bergamottide/app/reducerrunner.h"
#include "bergamottide/config/document.h"
#include "bergamottide/membership/configdistribution.h"
#include "bergamottide/membership/instanceview.h"
#include "bergamottide/net/loop.h"
#include "bergamottide/platform/configclient.h"
#include "bergamottide/platform/instanceclient.h"
#include "bergamottide/telemetry/logline.h"
#include "bergamottide/telemetry/metric.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace bergamottide {

/*! @brief Addresses of the platform's services and identity of this process. */
struct PlatformFeedOptions
{
    /*! @brief Configuration service, `ip:port`. */
    std::string configService;
    /*! @brief Instance list, `ip:port`. */
    std::string instanceList;
    ConfigIdentity identity;
};

/*! @brief Callbacks of the feed, called on the loop's thread. */
struct PlatformFeedHooks
{
    /*! @brief A new configuration document has become active. */
    std::function<void(ConfigChanged change)> document;
    std::function<void(std::shared_ptr<const InstanceView> view)> view;
    /*! @brief Sends a message of the configuration's distribution tree to a peer. */
    std::function<void(SendMessage message)> send;
    std::function<void(AuditRecord record)> audit;
    std::function<void(LogLine line)> log;
    std::function<void(Observe observation)> observe;
};

/**
 * @brief Provides the active configuration document and the instance view from the platform.
 *
 * Runs `ConfigDistribution`, which decides when to read the configuration service, from which peer to take updates
 * and which document is active.
 */
class PlatformFeed
{
public:
    /**
     * @brief Creates a feed that does not read yet.
     * @param loop Event loop; outlives the feed.
     * @param options Addresses and identity.
     * @param hooks Called for each change.
     */
    PlatformFeed(Loop &loop, const PlatformFeedOptions &options, PlatformFeedHooks hooks);

    /*! @brief Starts reading the configuration and the instance list. */
    void start();

    /**
     * @brief Handles a message from a peer; ignores those that do not concern the configuration.
     * @param from Sender.
     * @param message Message.
     */
    void handleMessage(const InstanceName &from, const Message &message);

    /**
     * @brief Handles the loss of a stream.
     * @param peer Peer at its other end.
     */
    void handleStreamClosed(const InstanceName &peer);

    /*! @brief Returns the version of the active document; zero if there is none yet. */
    [[nodiscard]] std::uint64_t version() const;

    /*! @brief Returns the revision of the instance view; zero if there is none yet. */
    [[nodiscard]] std::uint64_t revision() const noexcept;

    /*! @brief Returns the state of configuration and instance view, and read counters, as a JSON object. */
    [[nodiscard]] nlohmann::json status() const;

private:
    void carryOut(ConfigEffect effect);
    void carryOut(const SendMessage &effect);
    void carryOut(const ReadConfig &effect);
    void carryOut(const ConfigChanged &effect);
    void carryOut(const LogLine &line);
    void carryOut(const AuditRecord &record);
    void carryOut(const Observe &observation);
    [[nodiscard]] ConfigClientHooks configHooks();
    [[nodiscard]] InstanceClientHooks instanceHooks();
    void applyView(const std::shared_ptr<const InstanceView> &view);
    void logReadFailure(const char *source, const absl::Status &error);

    Loop &m_loop;
    PlatformFeedHooks m_hooks;
    ConfigClient m_config;
    InstanceClient m_instances;
    ConfigDistribution m_distribution;
    ReducerRunner<ConfigDistribution, ConfigEvent, ConfigEffect, Tick> m_runner;
    std::uint64_t m_revision{};
};

} // namespace bergamottide
