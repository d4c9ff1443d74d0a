#include "bergamottide/config/settings.h"

#include <algorithm>
#include <utility>

namespace bergamottide {

namespace {

constexpr std::size_t mostTicketKeys = 4;
constexpr std::size_t longestPath = 1024;
/*! @brief The settings are a few dozen flat fields. */
constexpr YamlLimits settingsLimits{.bytes = 1U << 16U, .depth = 4, .nodes = 1000};

ValueType<std::string> fileType()
{
    const auto allowed = [](const std::string &text) {
        return !text.empty() && text.size() <= longestPath;
    };
    return textType("file", "path of 1 to 1024 bytes", allowed);
}

/*! @brief Checks that go beyond one field. */
class SettingsCheck
{
public:
    SettingsCheck(const Settings &settings, const LineIndex &lines, IssueList &issues)
        : m_settings{settings}
        , m_lines{lines}
        , m_issues{issues}
    {
    }

    void run()
    {
        const bool entry = m_settings.role == Role::Entry;
        checkRole("callersAddress", m_settings.callersAddress, entry, "an entry");
        checkRole("endpointAddress", m_settings.endpointAddress, !entry, "a side");
        checkRole("pool", m_settings.pool.text(), !entry, "a side");
        if (entry && m_settings.ticketKeyFiles.empty()) {
            add("ticketKeyFiles", IssueKind::MissingField, "An entry needs a key for tickets.");
        }
        checkTogether("callersCertificate", m_settings.callersCertificate, "callersKey", m_settings.callersKey);
        checkTogether("peersCertificate", m_settings.peersCertificate, "peersKey", m_settings.peersKey);
        checkTogether("peersCertificate", m_settings.peersCertificate, "peersAuthority", m_settings.peersAuthority);
    }

private:
    void add(const std::string &path, IssueKind kind, std::string reason)
    {
        m_issues.add(lineOf(m_lines, path), path, kind, std::move(reason));
    }

    void checkRole(const std::string &name, const std::string &value, bool due, const std::string &owner)
    {
        if (due && value.empty()) {
            add(name, IssueKind::MissingField, "The setting is required for " + owner + '.');
        }
        if (!due && !value.empty()) {
            add(name, IssueKind::Conflict, "The setting is only for " + owner + '.');
        }
    }

    void checkTogether(const std::string &one, const std::string &oneValue, const std::string &other,
                       const std::string &otherValue)
    {
        if (oneValue.empty() == otherValue.empty()) {
            return;
        }
        const bool missingOne = oneValue.empty();
        add(missingOne ? one : other, IssueKind::MissingField,
            "The setting is required with " + (missingOne ? other : one) + '.');
    }

    const Settings &m_settings;
    const LineIndex &m_lines;
    IssueList &m_issues;
};

/*! @brief Puts the overrides in place of the file's values; line zero tells that they come from elsewhere. */
void applyOverrides(const SettingOverrides &overrides, YamlNode &root, IssueList &issues)
{
    for (const auto &[name, text] : overrides) {
        YamlNode value = readYaml(text, settingsLimits, issues);
        value.line = 0;
        for (YamlNode &item : value.items) {
            item.line = 0;
        }
        YamlNode key;
        key.kind = YamlKind::Scalar;
        key.text = name;
        std::erase_if(root.entries, [&key](const YamlEntry &entry) { return entry.key.text == key.text; });
        root.entries.push_back({std::move(key), std::move(value)});
    }
}

YamlNode readFile(std::string_view yaml, IssueList &issues)
{
    YamlNode root;
    if (yaml.find_first_not_of(" \t\r\n") != std::string_view::npos) {
        root = readYaml(yaml, settingsLimits, issues);
    }
    if (root.kind == YamlKind::Null && issues.empty()) {
        root.kind = YamlKind::Map;
    }
    return root;
}

} // namespace

const FieldTable<Settings> &settingsFields()
{
    constexpr auto optional = Presence::Optional;
    constexpr auto required = Presence::Required;
    static const FieldTable<Settings> table{
        scalarField("instance", &Settings::instance, nameType<InstanceName>(), required,
                    "Name of the instance, as the instance list has it."),
        scalarField("role", &Settings::role, choiceType<Role>(), required, "What the process does."),
        scalarField("region", &Settings::region, nameType<RegionName>(), required, "Region of the instance."),
        scalarField("zone", &Settings::zone, nameType<ZoneName>(), required, "Availability zone of the instance."),
        scalarField("callersAddress", &Settings::callersAddress, addressType(), optional,
                    "Where callers are listened for; required for an entry."),
        scalarField("peersAddress", &Settings::peersAddress, addressType(), required,
                    "Where other processes of the system are listened for."),
        scalarField("adminAddress", &Settings::adminAddress, addressType(), required,
                    "Where operators are listened for."),
        scalarField("configService", &Settings::configService, addressType(), required,
                    "Configuration service of the platform."),
        scalarField("instanceList", &Settings::instanceList, addressType(), required, "Instance list of the platform."),
        scalarField("endpointAddress", &Settings::endpointAddress, addressType(), optional,
                    "Endpoint beside the process; required for a side."),
        scalarField("pool", &Settings::pool, nameType<PoolName>(), optional,
                    "Pool of the endpoint; required for a side."),
        listField("ticketKeyFiles", &Settings::ticketKeyFiles, fileType(), mostTicketKeys,
                  "Files of the keys that authenticate tickets, the signing one first; required for an entry."),
        scalarField("adminKeyDigest", &Settings::adminKeyDigest, digestType(), required,
                    "SHA-256 digest of the bearer key of the admin port."),
        scalarField("callersCertificate", &Settings::callersCertificate, fileType(), optional,
                    "Certificate of the callers' port, PEM; plain text without it."),
        scalarField("callersKey", &Settings::callersKey, fileType(), optional, "Key of callersCertificate, PEM."),
        scalarField("peersCertificate", &Settings::peersCertificate, fileType(), optional,
                    "Certificate for mutual TLS between processes, PEM; plain text without it."),
        scalarField("peersKey", &Settings::peersKey, fileType(), optional, "Key of peersCertificate, PEM."),
        scalarField("peersAuthority", &Settings::peersAuthority, fileType(), optional,
                    "Certificate of the authority that signs those of other processes, PEM."),
        scalarField("logFormat", &Settings::logFormat, choiceType<LogFormat>(), optional, "How log lines are written."),
        scalarField("logLevel", &Settings::logLevel, choiceType<Severity>(), optional,
                    "Lowest severity that is logged."),
    };
    return table;
}

SettingsResult parseSettings(std::string_view yaml, const SettingOverrides &overrides)
{
    IssueList issues;
    YamlNode root = readFile(yaml, issues);
    applyOverrides(overrides, root, issues);
    SettingsResult result;
    if (!issues.empty()) {
        result.issues = issues.take();
        return result;
    }
    LineIndex lines;
    indexYaml(root, lines, issues);
    Settings settings;
    readRecord(root, {}, settingsFields(), settings, issues);
    // What the role asks for can only be told when the role itself could be read.
    if (issues.empty()) {
        SettingsCheck{settings, lines, issues}.run();
    }
    if (!issues.empty()) {
        result.issues = issues.take();
        return result;
    }
    result.settings = std::move(settings);
    return result;
}

std::optional<SettingOverrides> parseOverrides(std::string_view text)
{
    SettingOverrides overrides;
    while (!text.empty()) {
        const auto equals = text.find('=');
        if (equals == std::string_view::npos || equals == 0) {
            return std::nullopt;
        }
        const bool list = equals + 1 < text.size() && text[equals + 1] == '[';
        const auto close = list ? text.find(']', equals) : equals;
        const auto comma = close == std::string_view::npos ? close : text.find(',', close);
        const std::string_view value =
            text.substr(equals + 1, comma == std::string_view::npos ? comma : comma - equals - 1);
        if (!overrides.emplace(text.substr(0, equals), value).second) {
            return std::nullopt;
        }
        text = comma == std::string_view::npos ? std::string_view{} : text.substr(comma + 1);
    }
    return overrides;
}

} // namespace bergamottide
