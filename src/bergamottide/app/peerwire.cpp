#include "bergamottide/app/peerwire.h"

#include "bergamottide/core/error.h"
#include "bergamottide/sharing/fairshares.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <string_view>

namespace bergamottide::peerwire {

namespace {

using namespace serving;
using nlohmann::json;

constexpr std::string_view poolHeader = "stream-pool";
constexpr std::string_view partHeader = "stream-part";
constexpr std::string_view tokensHeader = "stream-tokens";
constexpr std::string_view lifetimeHeader = "stream-lifetime";

/*! @brief Returns a number in a header; zero if it is missing or malformed. */
std::uint32_t numberHeader(const HttpRequest &request, std::string_view name)
{
    std::uint32_t number = 0;
    return absl::SimpleAtoi(std::string{headerValue(request.headers, name)}, &number) ? number : 0;
}

std::string dump(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

/*! @brief Longest duration that peers tell each other; a longer one is an error, and would overflow in sums. */
constexpr Duration maxDuration = std::chrono::hours{24};

/*! @brief Returns a duration of at most a day; zero for a field that is missing. */
Duration durationFromJson(const json &value)
{
    if (value.is_null()) {
        return Duration::zero();
    }
    if (value.is_number_float()) {
        constexpr auto limit = static_cast<double>(maxDuration.count());
        return Duration{static_cast<Duration::rep>(std::clamp(value.get<double>(), -limit, limit))};
    }
    return std::clamp(Duration{value.get<Duration::rep>()}, -maxDuration, maxDuration);
}

/*! @brief Returns a field, or null if it is missing; copies of a deeply nested value overflow the stack. */
const json &fieldOrNull(const json &object, const char *name)
{
    static const json null;
    const auto found = object.find(name);
    return found == object.end() ? null : *found;
}

json toJson(const PeerInfo &peer)
{
    return {{"instance", peer.instance.text()},
            {"address", peer.address},
            {"strength", peer.capacity},
            {"zone", peer.zone.text()}};
}

PeerInfo peerFromJson(const json &value)
{
    return {InstanceName{value.at("instance").get<std::string>()}, value.at("address").get<std::string>(),
            value.at("strength").get<double>(), ZoneName{value.at("zone").get<std::string>()}};
}

/*! @brief Encodes entries as arrays: most bytes of the heartbeats of a starting fleet are rosters. */
json toJson(const std::vector<RosterEntry> &roster)
{
    json out = json::array();
    for (const RosterEntry &entry : roster) {
        if (entry.isRemoved) {
            out.push_back(json::array({entry.peer.instance.text()}));
            continue;
        }
        out.push_back(json::array({entry.peer.instance.text(), entry.peer.address, entry.peer.capacity,
                                   entry.peer.zone.text(), entry.canOwnQueues}));
    }
    return out;
}

std::vector<RosterEntry> rosterFromJson(const json &value)
{
    std::vector<RosterEntry> out;
    for (const json &item : value) {
        RosterEntry entry;
        entry.peer.instance = InstanceName{item.at(0).get<std::string>()};
        entry.isRemoved = item.size() == 1;
        if (!entry.isRemoved) {
            entry.peer.address = item.at(1).get<std::string>();
            entry.peer.capacity = item.at(2).get<double>();
            entry.peer.zone = ZoneName{item.at(3).get<std::string>()};
            entry.canOwnQueues = item.at(4).get<bool>();
        }
        out.push_back(std::move(entry));
    }
    return out;
}

json toJson(const std::vector<engines::EngineReport> &reports)
{
    json out = json::array();
    for (const engines::EngineReport &report : reports) {
        json work = json::array();
        for (const engines::PendingPrefill &item : report.pendingPrefills) {
            work.push_back({item.engine.text(), item.tokens});
        }
        json placed = json::array();
        for (const engines::PlacedPrompt &item : report.placed) {
            json chain = json::array();
            for (const engines::ChainLink &link : item.chain) {
                chain.push_back({link.digest, link.tokens});
            }
            placed.push_back({item.engine.text(), item.timeUntilCached.count(), std::move(chain)});
        }
        out.push_back({{"origin", report.origin.text()},
                       {"incarnation", report.incarnation},
                       {"sequence", report.sequence},
                       {"work", std::move(work)},
                       {"placed", std::move(placed)}});
    }
    return out;
}

engines::EngineReport engineReportFromJson(const json &value)
{
    engines::EngineReport report;
    report.origin = InstanceName{value.at("origin").get<std::string>()};
    report.incarnation = value.at("incarnation").get<std::uint64_t>();
    report.sequence = value.at("sequence").get<std::uint64_t>();
    for (const json &item : value.at("work")) {
        report.pendingPrefills.push_back(
            {InstanceName{item.at(0).get<std::string>()}, item.at(1).get<std::uint64_t>()});
    }
    for (const json &item : value.at("placed")) {
        engines::PlacedPrompt placed;
        placed.engine = InstanceName{item.at(0).get<std::string>()};
        placed.timeUntilCached = durationFromJson(item.at(1));
        for (const json &link : item.at(2)) {
            placed.chain.push_back({link.at(0).get<std::uint64_t>(), link.at(1).get<std::uint64_t>()});
        }
        report.placed.push_back(std::move(placed));
    }
    return report;
}

json toJson(const std::vector<RequestFingerprint> &requests)
{
    json out = json::array();
    for (const RequestFingerprint &request : requests) {
        out.push_back(request.text());
    }
    return out;
}

std::vector<RequestFingerprint> fingerprintsFromJson(const json &value)
{
    std::vector<RequestFingerprint> out;
    for (const json &item : value) {
        out.emplace_back(item.get<std::string>());
    }
    return out;
}

json toJson(const std::vector<CrashReport> &reports)
{
    json out = json::array();
    for (const CrashReport &report : reports) {
        json item{{"endpoint", report.endpoint.text()},
                  {"incarnation", report.incarnation},
                  {"age", report.age.count()},
                  {"suspects", toJson(report.suspects)},
                  {"cleared", toJson(report.cleared)}};
        if (!report.suspectParts.empty() || !report.clearedParts.empty()) {
            item["suspectParts"] = toJson(report.suspectParts);
            item["clearedParts"] = toJson(report.clearedParts);
        }
        out.push_back(std::move(item));
    }
    return out;
}

CrashReport crashReportFromJson(const json &value)
{
    return {InstanceName{value.at("endpoint").get<std::string>()},
            durationFromJson(value.at("age")),
            fingerprintsFromJson(value.at("suspects")),
            fingerprintsFromJson(value.at("cleared")),
            value.value("incarnation", std::uint64_t{}),
            fingerprintsFromJson(fieldOrNull(value, "suspectParts")),
            fingerprintsFromJson(fieldOrNull(value, "clearedParts"))};
}

json toJson(const std::vector<NoticeReport> &reports)
{
    json out = json::array();
    for (const NoticeReport &report : reports) {
        json item{
            {"endpoint", report.endpoint.text()}, {"incarnation", report.incarnation}, {"age", report.age.count()}};
        if (report.requestsPerSecond) {
            item["perSecond"] = *report.requestsPerSecond;
        }
        if (report.isDraining) {
            item["draining"] = true;
        }
        out.push_back(std::move(item));
    }
    return out;
}

NoticeReport noticeReportFromJson(const json &value)
{
    NoticeReport report{InstanceName{value.at("endpoint").get<std::string>()},
                        value.at("incarnation").get<std::uint64_t>(),
                        {},
                        durationFromJson(value.at("age"))};
    if (const auto limit = value.find("perSecond"); limit != value.end()) {
        report.requestsPerSecond = limit->get<double>();
    }
    report.isDraining = value.value("draining", false);
    return report;
}

/*! @brief Encodes streams as arrays by version, since there is one for each request in progress. */
json toJson(const std::vector<StreamReport> &reports)
{
    json out = json::object();
    for (const StreamReport &report : reports) {
        out[report.version.text()].push_back({static_cast<std::uint64_t>(report.stream), report.timeLeft.count()});
    }
    return out;
}

std::vector<StreamReport> streamReportsFromJson(const json &value)
{
    std::vector<StreamReport> out;
    for (const auto &[version, streams] : value.items()) {
        for (const json &stream : streams) {
            out.push_back({StreamKey{stream.at(0).get<std::uint64_t>()}, SoftwareVersion{version},
                           durationFromJson(stream.at(1))});
        }
    }
    return out;
}

/*! @brief Parses and decodes a message; every JSON error becomes a `MalformedBody` status. */
template <typename Decode>
auto parse(const std::string &text, Decode decode) -> absl::StatusOr<decltype(decode(json{}))>
{
    try {
        return decode(json::parse(text));
    } catch (const json::exception &error) {
        return makeError(Reason::MalformedBody, "peer", error.what());
    }
}

} // namespace

std::string encode(const Heartbeat &heartbeat)
{
    json out = toJson(heartbeat.from);
    out["incarnation"] = heartbeat.incarnation;
    out["draining"] = heartbeat.draining;
    out["ownsQueues"] = heartbeat.canOwnQueues;
    out["version"] = heartbeat.configVersion;
    out["isRelay"] = heartbeat.isRelay;
    out["rosterVersion"] = heartbeat.rosterVersion;
    out["knownRoster"] = heartbeat.acknowledgedRoster;
    out["wantsRoster"] = heartbeat.wantsRoster;
    if (heartbeat.roster) {
        out["rosterSince"] = heartbeat.rosterSince;
        out["rosterChanges"] = toJson(*heartbeat.roster);
    }
    out["waits"] = json::array();
    for (const PoolWait &wait : heartbeat.waits) {
        out["waits"].push_back({{"pool", wait.pool.text()},
                                {"rank", wait.rank},
                                {"wait", wait.wait.count()},
                                {"perPiece", wait.timePerPiece.count()},
                                {"items", wait.itemsPerCall},
                                {"roomTaken", wait.usedMemoryShare}});
        if (!wait.aboveShare.empty()) {
            json &names = out["waits"].back()["above"];
            for (const WorkspaceName &workspace : wait.aboveShare) {
                names.push_back(workspace.text());
            }
            out["waits"].back()["aboveWait"] = wait.aboveShareWait.count();
        }
    }
    out["upcoming"] = json::array();
    for (const UpcomingWork &work : heartbeat.upcoming) {
        out["upcoming"].push_back({{"pool", work.pool.text()}, {"rank", work.rank}, {"pieces", work.pieces}});
    }
    out["engines"] = toJson(heartbeat.engines);
    out["gossipVersion"] = heartbeat.gossipVersion;
    out["gossipSince"] = heartbeat.gossipSince;
    out["knownGossip"] = heartbeat.acknowledgedGossip;
    if (!heartbeat.crashes.empty()) {
        out["crashes"] = toJson(heartbeat.crashes);
    }
    if (!heartbeat.notices.empty()) {
        out["notices"] = toJson(heartbeat.notices);
    }
    if (!heartbeat.streams.empty()) {
        out["streams"] = toJson(heartbeat.streams);
    }
    return dump(out);
}

absl::StatusOr<Heartbeat> decodeHeartbeat(const std::string &text)
{
    return parse(text, [](const json &value) {
        Heartbeat heartbeat;
        heartbeat.from = peerFromJson(value);
        heartbeat.incarnation = value.at("incarnation").get<std::uint64_t>();
        heartbeat.draining = value.at("draining").get<bool>();
        heartbeat.canOwnQueues = value.at("ownsQueues").get<bool>();
        heartbeat.configVersion = value.at("version").get<std::uint64_t>();
        heartbeat.isRelay = value.at("isRelay").get<bool>();
        heartbeat.rosterVersion = value.at("rosterVersion").get<std::uint64_t>();
        heartbeat.acknowledgedRoster = value.at("knownRoster").get<std::uint64_t>();
        heartbeat.wantsRoster = value.at("wantsRoster").get<bool>();
        if (const auto roster = value.find("rosterChanges"); roster != value.end()) {
            heartbeat.rosterSince = value.at("rosterSince").get<std::uint64_t>();
            heartbeat.roster = rosterFromJson(*roster);
        }
        for (const json &wait : value.at("waits")) {
            heartbeat.waits.push_back({PoolName{wait.at("pool").get<std::string>()}, wait.at("rank").get<int>(),
                                       durationFromJson(wait.at("wait")), durationFromJson(wait.at("perPiece")),
                                       wait.at("items").get<double>(), wait.at("roomTaken").get<double>()});
            // Absent in heartbeats of earlier releases, and while no workspace is above its share.
            PoolWait &added = heartbeat.waits.back();
            for (const json &workspace : fieldOrNull(wait, "above")) {
                if (added.aboveShare.size() < sharing::FairShares::maxPublished) {
                    added.aboveShare.emplace_back(workspace.get<std::string>());
                }
            }
            added.aboveShareWait = durationFromJson(fieldOrNull(wait, "aboveWait"));
        }
        for (const json &work : value.at("upcoming")) {
            heartbeat.upcoming.push_back({PoolName{work.at("pool").get<std::string>()}, work.at("rank").get<int>(),
                                          work.at("pieces").get<std::uint64_t>()});
        }
        for (const json &report : fieldOrNull(value, "engines")) {
            heartbeat.engines.push_back(engineReportFromJson(report));
        }
        // Absent in heartbeats of earlier releases.
        heartbeat.gossipVersion = value.value("gossipVersion", std::uint64_t{});
        heartbeat.gossipSince = value.value("gossipSince", std::uint64_t{});
        heartbeat.acknowledgedGossip = value.value("knownGossip", std::uint64_t{});
        for (const json &report : fieldOrNull(value, "crashes")) {
            heartbeat.crashes.push_back(crashReportFromJson(report));
        }
        for (const json &report : fieldOrNull(value, "notices")) {
            heartbeat.notices.push_back(noticeReportFromJson(report));
        }
        heartbeat.streams = streamReportsFromJson(fieldOrNull(value, "streams"));
        return heartbeat;
    });
}

std::string encode(const StageTask &task, TimePoint now)
{
    json inputs = json::array();
    for (const StoredResult &input : task.inputs) {
        inputs.push_back({{"handle", input.handle},
                          {"endpoint", input.endpoint.text()},
                          {"address", input.address},
                          {"bytes", input.bytes}});
    }
    json held = json::array();
    for (const ResultMemoryUsage &item : task.heldResults) {
        held.push_back({{"endpoint", item.endpoint.text()}, {"bytes", item.bytes}});
    }
    return dump({{"from", task.requester.text()},
                 {"pool", task.pool.text()},
                 {"rank", task.rank},
                 {"deadline", (task.deadline - now).count()},
                 {"due", (task.latestStart - now).count()},
                 {"objective", task.objective.count()},
                 {"workspace", task.workspace.text()},
                 {"attempt", task.attempt},
                 {"fingerprint", task.fingerprint.text()},
                 {"stage", task.stage},
                 {"pieces", task.pieces},
                 {"key", task.inputKey},
                 {"inputs", std::move(inputs)},
                 {"bytes", task.resultBytes},
                 {"zone", task.preferredZone.text()},
                 {"held", std::move(held)}});
}

absl::StatusOr<StageTask> decodeTask(const std::string &text, TimePoint now)
{
    return parse(text, [now](const json &value) {
        StageTask task;
        task.requester = InstanceName{value.at("from").get<std::string>()};
        task.pool = PoolName{value.at("pool").get<std::string>()};
        task.rank = value.at("rank").get<int>();
        task.deadline = now + durationFromJson(value.at("deadline"));
        task.latestStart = now + durationFromJson(value.at("due"));
        task.attempt = value.at("attempt").get<std::string>();
        // Absent in tasks of earlier releases.
        task.fingerprint = RequestFingerprint{value.value("fingerprint", std::string{})};
        task.objective = durationFromJson(fieldOrNull(value, "objective"));
        task.workspace = WorkspaceName{value.value("workspace", std::string{})};
        task.stage = value.at("stage").get<std::uint32_t>();
        task.pieces = value.at("pieces").get<std::uint32_t>();
        task.inputKey = value.at("key").get<std::string>();
        for (const json &input : value.at("inputs")) {
            task.inputs.push_back({input.at("handle").get<std::string>(),
                                   InstanceName{input.at("endpoint").get<std::string>()},
                                   input.at("address").get<std::string>(), input.at("bytes").get<std::uint64_t>()});
        }
        task.resultBytes = value.at("bytes").get<std::uint64_t>();
        task.preferredZone = ZoneName{value.at("zone").get<std::string>()};
        for (const json &item : value.at("held")) {
            task.heldResults.push_back(
                {InstanceName{item.at("endpoint").get<std::string>()}, item.at("bytes").get<std::uint64_t>()});
        }
        return task;
    });
}

std::string encode(const std::vector<StageOutcome> &outcomes)
{
    json list = json::array();
    for (const StageOutcome &outcome : outcomes) {
        list.push_back({{"piece", outcome.piece},
                        {"handle", outcome.result.handle},
                        {"failure", enumName(outcome.result.failure)},
                        {"endpoint", outcome.endpoint.text()},
                        {"address", outcome.address}});
    }
    return dump(list);
}

absl::StatusOr<std::vector<StageOutcome>> decodeOutcomes(const std::string &text, StageTaskId task)
{
    return parse(text, [task](const json &value) {
        std::vector<StageOutcome> outcomes;
        for (const json &item : value) {
            const auto failure = enumFromName<PieceFailure>(item.at("failure").get<std::string>());
            outcomes.push_back(
                {task, item.at("piece").get<std::uint32_t>(),
                 PieceResult{item.at("handle").get<std::string>(), failure.value_or(PieceFailure::Error)},
                 InstanceName{item.at("endpoint").get<std::string>()}, item.at("address").get<std::string>()});
        }
        return outcomes;
    });
}

HttpRequest encode(const StreamQuery &query)
{
    HttpRequest request;
    request.method = "GET";
    request.query = absl::StrCat(static_cast<std::uint64_t>(query.stream));
    request.headers = {{std::string{poolHeader}, query.pool.text()},
                       {std::string{partHeader}, query.lastPart.id},
                       {std::string{tokensHeader}, absl::StrCat(query.lastPart.tokens)},
                       {std::string{lifetimeHeader}, absl::StrCat(query.lifetime.count())}};
    return request;
}

absl::StatusOr<StreamQuery> decodeStreamQuery(const HttpRequest &request)
{
    std::uint64_t stream = 0;
    if (!absl::SimpleAtoi(request.query, &stream)) {
        return makeError(Reason::MalformedBody, "query", "A peer's question about a stream is malformed.");
    }
    StreamQuery query;
    query.stream = StreamKey{stream};
    query.pool = PoolName{std::string{headerValue(request.headers, poolHeader)}};
    query.lastPart = {std::string{headerValue(request.headers, partHeader)}, numberHeader(request, tokensHeader)};
    query.lifetime = Duration{static_cast<Duration::rep>(numberHeader(request, lifetimeHeader))};
    return query;
}

std::string encodeHandles(const std::vector<std::string> &handles)
{
    return dump(handles);
}

absl::StatusOr<std::vector<std::string>> decodeHandles(const std::string &text)
{
    return parse(text, [](const json &value) { return value.get<std::vector<std::string>>(); });
}

} // namespace bergamottide::peerwire
