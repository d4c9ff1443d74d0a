#pragma once

#include "bergamottide/app/reactor.h"
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

/*! @brief Where the platform is read, and who reads. */
struct PlatformFeedOptions
{
    /*! @brief Configuration service, `ip:port`. */
    std::string configService;
    /*! @brief Instance list, `ip:port`. */
    std::string instanceList;
    ConfigIdentity identity;
};

/*! @brief Hooks of the feed; called on the loop's thread. */
struct PlatformFeedHooks
{
    /*! @brief A document is in force from now on. */
    std::function<void(ConfigChanged change)> document;
    std::function<void(std::shared_ptr<const InstanceView> view)> view;
    /*! @brief A message of the configuration's tree goes to another process. */
    std::function<void(SendMessage message)> send;
    std::function<void(AuditRecord record)> audit;
    std::function<void(LogLine line)> log;
    std::function<void(Observe observation)> observe;
};

/**
 * @brief What a process knows from the platform: the document in force and the instance view.
 *
 * Runs the distribution of the configuration, which decides when the service is read, which
 * process is listened to, and which document is in force.
 */
class PlatformFeed
{
public:
    /**
     * @brief Creates a feed that does not read yet.
     * @param loop Loop it runs on; outlives the feed.
     * @param options Addresses and identity.
     * @param hooks Called for each change.
     */
    PlatformFeed(Loop &loop, const PlatformFeedOptions &options, PlatformFeedHooks hooks);

    /*! @brief Starts to read. */
    void start();

    /**
     * @brief Takes a message; those that do not concern the configuration are ignored.
     * @param from Process that sent it.
     * @param message Message.
     */
    void received(const InstanceName &from, const Message &message);

    /**
     * @brief Notes that a stream to another process has closed.
     * @param peer Process at its other end.
     */
    void closed(const InstanceName &peer);

    /*! @brief Returns the version in force; zero before the first. */
    [[nodiscard]] std::uint64_t version() const;

    /*! @brief Returns the revision of the instance view; zero before the first. */
    [[nodiscard]] std::uint64_t revision() const noexcept;

    /*! @brief Writes what is known from the platform, and the counts of its reads, as a JSON object. */
    [[nodiscard]] nlohmann::json status() const;

private:
    void carryOut(ConfigEffect effect);
    void carryOut(const SendMessage &effect);
    void carryOut(const ReadService &effect);
    void carryOut(const ConfigChanged &effect);
    void carryOut(const LogLine &line);
    void carryOut(const AuditRecord &record);
    void carryOut(const Observe &observation);
    [[nodiscard]] ConfigClientHooks configHooks();
    [[nodiscard]] InstanceClientHooks instanceHooks();
    void takeView(const std::shared_ptr<const InstanceView> &view);
    void readFailed(const char *source, const absl::Status &error);

    Loop &m_loop;
    PlatformFeedHooks m_hooks;
    ConfigClient m_config;
    InstanceClient m_instances;
    ConfigDistribution m_distribution;
    Reactor<ConfigDistribution, ConfigEvent, ConfigEffect, Tick> m_reactor;
    std::uint64_t m_revision{};
};

} // namespace bergamottide
