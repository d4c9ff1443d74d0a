#pragma once

#include "bergamottide/config/fieldtable.h"
#include "bergamottide/config/issue.h"
#include "bergamottide/membership/instanceview.h"
#include "bergamottide/telemetry/logformat.h"
#include "bergamottide/telemetry/logline.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bergamottide {

/*! @brief Settings of one process; every address is an IP number with a port. */
struct Settings
{
    InstanceName instance;
    Role role{};
    RegionName region;
    ZoneName zone;
    /*! @brief Where callers are listened for; only an entry has it. */
    std::string callersAddress;
    /*! @brief Where other processes of the system are listened for. */
    std::string peersAddress;
    std::string adminAddress;
    /*! @brief Configuration service of the platform. */
    std::string configService;
    /*! @brief Instance list of the platform. */
    std::string instanceList;
    /*! @brief Endpoint beside a side. */
    std::string endpointAddress;
    /*! @brief Pool of the endpoint beside a side. */
    PoolName pool;
    /*! @brief Files of the keys that authenticate tickets, the signing one first; the id of a key is its file's name.
     */
    std::vector<std::string> ticketKeyFiles;
    /*! @brief SHA-256 digest of the key of the admin port. */
    std::string adminKeyDigest;
    /*! @brief Certificate and key of the callers' port, PEM; both or none. */
    std::string callersCertificate;
    std::string callersKey;
    /*! @brief Certificate, key and authority for mutual TLS between processes, PEM; all or none. */
    std::string peersCertificate;
    std::string peersKey;
    std::string peersAuthority;
    LogFormat logFormat{};
    Severity logLevel{Severity::Info};
};

/*! @brief Values that replace those of the file, by name of the setting. */
using SettingOverrides = std::map<std::string, std::string>;

/*! @brief Outcome of reading settings: the settings, or every error. */
struct SettingsResult
{
    /*! @brief Present only if there is no issue. */
    std::optional<Settings> settings;
    std::vector<ConfigIssue> issues;
};

/*! @brief Fields of the settings, in the order of the reference page. */
[[nodiscard]] const FieldTable<Settings> &settingsFields();

/**
 * @brief Reads and validates the settings of a process.
 * @param yaml Text of the file; may be empty if the overrides suffice.
 * @param overrides Values of the command line; they are checked like those of the file.
 * @return The settings, or the issues; an issue of an override has line zero.
 */
[[nodiscard]] SettingsResult parseSettings(std::string_view yaml, const SettingOverrides &overrides = {});

/**
 * @brief Reads overrides of the command line.
 * @param text `name=value` pairs, separated by commas; lists in brackets keep their commas.
 * @return The overrides, or nothing if a pair has no `=` or a name stands twice.
 */
[[nodiscard]] std::optional<SettingOverrides> parseOverrides(std::string_view text);

} // namespace bergamottide
