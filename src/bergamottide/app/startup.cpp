#include "bergamottide/app/startup.h"

#include "bergamottide/core/error.h"

#include <nlohmann/json.hpp>
#include <openssl/rand.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>

#include <malloc.h>
#include <unistd.h>

namespace bergamottide {

namespace {

/*! @brief Shortest allowed secret of a ticket key. */
constexpr std::size_t minSecretBytes = 16;

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file{path, std::ios::binary};
    if (!file) {
        return std::nullopt;
    }
    return std::string{std::istreambuf_iterator<char>{file}, {}};
}

} // namespace

std::optional<Settings> loadSettings(const std::string &path, const std::string &overrides, Role role)
{
    const auto text = path.empty() ? std::optional<std::string>{""} : readFile(path);
    if (!text) {
        std::cerr << path << ": the file cannot be read\n";
        return std::nullopt;
    }
    auto values = parseOverrides(overrides);
    if (!values) {
        std::cerr << "--set: expected a list of name=value, separated by commas\n";
        return std::nullopt;
    }
    values->try_emplace("role", std::string{enumName(role)});
    SettingsResult result = parseSettings(*text, *values);
    for (const ConfigIssue &issue : result.issues) {
        std::cerr << issueText(issue) << "\n";
    }
    if (result.settings && result.settings->role != role) {
        std::cerr << "role: this program requires the role " << enumName(role) << "\n";
        return std::nullopt;
    }
    return result.settings;
}

absl::StatusOr<std::vector<TicketKey>> readTicketKeys(const std::vector<std::string> &files)
{
    std::vector<TicketKey> keys;
    for (const std::string &path : files) {
        auto secret = readFile(path);
        if (!secret || secret->size() < minSecretBytes) {
            return makeError(Reason::Internal, path,
                             "The file of a ticket key cannot be read or is shorter than 16 bytes");
        }
        keys.push_back(TicketKey{std::filesystem::path{path}.filename().string(), *std::move(secret)});
    }
    return keys;
}

void returnFreedMemory()
{
    constexpr int ownMappingBytes = 256 << 10;
    mallopt(M_MMAP_THRESHOLD, ownMappingBytes);
    mallopt(M_TRIM_THRESHOLD, ownMappingBytes);
}

Incarnation randomIncarnation()
{
    std::uint64_t number = 0;
    while (number == 0) {
        if (RAND_bytes(reinterpret_cast<unsigned char *>(&number), sizeof(number)) != 1) {
            std::cerr << "RAND_bytes failed: no random numbers available\n";
            std::abort();
        }
    }
    return Incarnation{number};
}

TlsFiles callersTls(const Settings &settings)
{
    return TlsFiles{settings.callersCertificate, settings.callersKey, {}};
}

TlsFiles peersTls(const Settings &settings)
{
    return TlsFiles{settings.peersCertificate, settings.peersKey, settings.peersAuthority};
}

void printAddresses(const Settings &settings, const std::vector<std::pair<std::string, std::string>> &addresses)
{
    nlohmann::json line{{"instance", settings.instance.text()}, {"role", std::string{enumName(settings.role)}},
                        {"region", settings.region.text()},     {"zone", settings.zone.text()},
                        {"pool", settings.pool.text()},         {"pid", getpid()}};
    for (const auto &[name, address] : addresses) {
        line[name] = address;
    }
    std::cout << line.dump() << std::endl;
}

} // namespace bergamottide
