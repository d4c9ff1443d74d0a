#include "bergamottide/platform/instanceclient.h"

#include "bergamottide/core/error.h"
#include "bergamottide/platform/valuedigest.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace bergamottide {

namespace {

using Json = nlohmann::json;

/*! @brief Largest number of instances accepted in one list. */
constexpr std::size_t maxInstances = 10000;

LongPollOptions pollOptions(const std::string &address, std::uint64_t seed)
{
    LongPollOptions options;
    options.address = address;
    options.path = "/v1/instances";
    options.seed = seed;
    return options;
}

std::string stringField(const Json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string{};
}

absl::Status malformedField(std::size_t index, const char *field)
{
    return makeError(Reason::MalformedBody, absl::StrCat("instances[", index, "].", field),
                     "The instance list has a missing, malformed or duplicate field");
}

absl::StatusOr<Instance> parseInstance(const Json &object, std::size_t index)
{
    if (!object.is_object()) {
        return malformedField(index, "");
    }
    Instance instance;
    instance.name = InstanceName{stringField(object, "name")};
    if (instance.name.empty()) {
        return malformedField(index, "name");
    }
    const auto role = enumFromName<Role>(stringField(object, "role"));
    if (!role) {
        return malformedField(index, "role");
    }
    instance.role = *role;
    instance.region = RegionName{stringField(object, "region")};
    instance.zone = ZoneName{stringField(object, "zone")};
    instance.address = stringField(object, "address");
    if (instance.address.empty()) {
        return malformedField(index, "address");
    }
    instance.pool = PoolName{stringField(object, "pool")};
    const auto leaving = object.find("leaving");
    instance.leaving = leaving != object.end() && leaving->is_boolean() && leaving->get<bool>();
    return instance;
}

} // namespace

absl::StatusOr<InstanceView> parseInstanceList(std::string_view text)
{
    const Json root = Json::parse(text, nullptr, false);
    if (!root.is_object()) {
        return makeError(Reason::MalformedBody, "instances", "The instance list is not a JSON object");
    }
    const auto revision = root.find("revision");
    if (revision == root.end() || !revision->is_number_unsigned()) {
        return makeError(Reason::MalformedBody, "revision",
                         "The instance list has no unsigned integer as its revision");
    }
    const auto list = root.find("instances");
    if (list == root.end() || !list->is_array() || list->size() > maxInstances) {
        return makeError(Reason::MalformedBody, "instances",
                         "The instance list has no array of instances, or has too many instances");
    }
    InstanceView view;
    view.revision = revision->get<std::uint64_t>();
    for (std::size_t index = 0; index < list->size(); ++index) {
        auto instance = parseInstance((*list)[index], index);
        if (!instance.ok()) {
            return instance.status();
        }
        InstanceName name = instance->name;
        if (!view.instances.emplace(std::move(name), *std::move(instance)).second) {
            return malformedField(index, "name");
        }
    }
    return view;
}

InstanceClient::InstanceClient(Loop &loop, const std::string &address, std::uint64_t seed, InstanceClientHooks hooks)
    : m_hooks{std::move(hooks)}
    , m_poll{loop, pollOptions(address, seed),
             LongPoll::Hooks{[this](const HttpResponse &answer) { return handleList(answer); }, m_hooks.failed,
                             m_hooks.unchanged}}
{
}

void InstanceClient::start()
{
    m_poll.start();
}

const LongPollCounts &InstanceClient::counts() const noexcept
{
    return m_poll.counts();
}

absl::StatusOr<std::uint64_t> InstanceClient::handleList(const HttpResponse &answer)
{
    absl::Status digestStatus = checkDigest(answer);
    if (!digestStatus.ok()) {
        return digestStatus;
    }
    auto view = parseInstanceList(answer.body);
    if (!view.ok()) {
        return view.status();
    }
    const std::uint64_t revision = view->revision;
    if (revision > m_revision) {
        m_revision = revision;
        m_hooks.view(std::make_shared<const InstanceView>(*std::move(view)));
    }
    return revision;
}

} // namespace bergamottide
