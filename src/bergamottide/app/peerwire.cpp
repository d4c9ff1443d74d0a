#include "bergamottide/app/peerwire.h"

#include "bergamottide/core/error.h"

#include <nlohmann/json.hpp>

namespace bergamottide::peerwire {

namespace {

using namespace serving;
using nlohmann::json;

std::string dump(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json infoOf(const PeerInfo &peer)
{
    return {{"instance", peer.instance.text()},
            {"address", peer.address},
            {"strength", peer.strength},
            {"zone", peer.zone.text()}};
}

PeerInfo peerOf(const json &value)
{
    return {InstanceName{value.at("instance").get<std::string>()}, value.at("address").get<std::string>(),
            value.at("strength").get<double>(), ZoneName{value.at("zone").get<std::string>()}};
}

json rosterOf(const std::vector<RosterEntry> &roster)
{
    json out = json::array();
    for (const RosterEntry &entry : roster) {
        json one = infoOf(entry.peer);
        one["ownsQueues"] = entry.ownsQueues;
        out.push_back(std::move(one));
    }
    return out;
}

std::vector<RosterEntry> readRoster(const json &value)
{
    std::vector<RosterEntry> out;
    for (const json &one : value) {
        out.push_back({peerOf(one), one.at("ownsQueues").get<bool>()});
    }
    return out;
}

json enginesOf(const std::vector<engines::EngineReport> &reports)
{
    json out = json::array();
    for (const engines::EngineReport &report : reports) {
        json work = json::array();
        for (const engines::EngineWork &one : report.work) {
            work.push_back({one.engine.text(), one.tokens});
        }
        json placed = json::array();
        for (const engines::PlacedPrompt &one : report.placed) {
            json chain = json::array();
            for (const engines::ChainLink &link : one.chain) {
                chain.push_back({link.digest, link.tokens});
            }
            placed.push_back({one.engine.text(), one.readIn.count(), std::move(chain)});
        }
        out.push_back({{"origin", report.origin.text()},
                       {"incarnation", report.incarnation},
                       {"sequence", report.sequence},
                       {"work", std::move(work)},
                       {"placed", std::move(placed)}});
    }
    return out;
}

engines::EngineReport reportOf(const json &value)
{
    engines::EngineReport report;
    report.origin = InstanceName{value.at("origin").get<std::string>()};
    report.incarnation = value.at("incarnation").get<std::uint64_t>();
    report.sequence = value.at("sequence").get<std::uint64_t>();
    for (const json &one : value.at("work")) {
        report.work.push_back({InstanceName{one.at(0).get<std::string>()}, one.at(1).get<std::uint64_t>()});
    }
    for (const json &one : value.at("placed")) {
        engines::PlacedPrompt placed;
        placed.engine = InstanceName{one.at(0).get<std::string>()};
        placed.readIn = Duration{one.at(1).get<std::int64_t>()};
        for (const json &link : one.at(2)) {
            placed.chain.push_back({link.at(0).get<std::uint64_t>(), link.at(1).get<std::uint64_t>()});
        }
        report.placed.push_back(std::move(placed));
    }
    return report;
}

/*! @brief Reads a message; whatever is wrong with it becomes a typed error. */
template <typename Decode>
auto read(const std::string &text, Decode decode) -> absl::StatusOr<decltype(decode(json{}))>
{
    try {
        return decode(json::parse(text));
    } catch (const json::exception &error) {
        return makeError(Reason::MalformedBody, "peer", error.what());
    }
}

} // namespace

std::string write(const Heartbeat &heartbeat)
{
    json out = infoOf(heartbeat.from);
    out["incarnation"] = heartbeat.incarnation;
    out["draining"] = heartbeat.draining;
    out["ownsQueues"] = heartbeat.ownsQueues;
    out["version"] = heartbeat.version;
    out["isRelay"] = heartbeat.isRelay;
    out["rosterDigest"] = heartbeat.rosterDigest;
    out["knownDigest"] = heartbeat.knownDigest;
    if (heartbeat.roster) {
        out["roster"] = rosterOf(*heartbeat.roster);
    }
    out["waits"] = json::array();
    for (const PoolWait &wait : heartbeat.waits) {
        out["waits"].push_back({{"pool", wait.pool.text()},
                                {"rank", wait.rank},
                                {"wait", wait.wait.count()},
                                {"perPiece", wait.perPiece.count()},
                                {"items", wait.items},
                                {"roomTaken", wait.roomTaken}});
    }
    out["upcoming"] = json::array();
    for (const PoolWork &work : heartbeat.upcoming) {
        out["upcoming"].push_back({{"pool", work.pool.text()}, {"rank", work.rank}, {"pieces", work.pieces}});
    }
    out["engines"] = enginesOf(heartbeat.engines);
    return dump(out);
}

absl::StatusOr<Heartbeat> readHeartbeat(const std::string &text)
{
    return read(text, [](const json &value) {
        Heartbeat heartbeat;
        heartbeat.from = peerOf(value);
        heartbeat.incarnation = value.at("incarnation").get<std::uint64_t>();
        heartbeat.draining = value.at("draining").get<bool>();
        heartbeat.ownsQueues = value.at("ownsQueues").get<bool>();
        heartbeat.version = value.at("version").get<std::uint64_t>();
        heartbeat.isRelay = value.at("isRelay").get<bool>();
        heartbeat.rosterDigest = value.at("rosterDigest").get<std::uint64_t>();
        heartbeat.knownDigest = value.at("knownDigest").get<std::uint64_t>();
        if (const auto roster = value.find("roster"); roster != value.end()) {
            heartbeat.roster = readRoster(*roster);
        }
        for (const json &wait : value.at("waits")) {
            heartbeat.waits.push_back({PoolName{wait.at("pool").get<std::string>()}, wait.at("rank").get<int>(),
                                       Duration{wait.at("wait").get<std::int64_t>()},
                                       Duration{wait.at("perPiece").get<std::int64_t>()},
                                       wait.at("items").get<double>(), wait.at("roomTaken").get<double>()});
        }
        for (const json &work : value.at("upcoming")) {
            heartbeat.upcoming.push_back({PoolName{work.at("pool").get<std::string>()}, work.at("rank").get<int>(),
                                          work.at("pieces").get<std::uint64_t>()});
        }
        for (const json &report : value.value("engines", json::array())) {
            heartbeat.engines.push_back(reportOf(report));
        }
        return heartbeat;
    });
}

std::string write(const StageTask &task, TimePoint now)
{
    json inputs = json::array();
    for (const KeptResult &input : task.inputs) {
        inputs.push_back({{"handle", input.handle},
                          {"endpoint", input.endpoint.text()},
                          {"address", input.address},
                          {"bytes", input.bytes}});
    }
    json held = json::array();
    for (const HeldResults &one : task.held) {
        held.push_back({{"endpoint", one.endpoint.text()}, {"bytes", one.bytes}});
    }
    return dump({{"from", task.from.text()},
                 {"pool", task.pool.text()},
                 {"rank", task.rank},
                 {"deadline", (task.deadline - now).count()},
                 {"due", (task.due - now).count()},
                 {"attempt", task.attempt},
                 {"stage", task.stage},
                 {"pieces", task.pieces},
                 {"key", task.key},
                 {"inputs", std::move(inputs)},
                 {"bytes", task.resultBytes},
                 {"zone", task.zone.text()},
                 {"held", std::move(held)}});
}

absl::StatusOr<StageTask> readTask(const std::string &text, TimePoint now)
{
    return read(text, [now](const json &value) {
        StageTask task;
        task.from = InstanceName{value.at("from").get<std::string>()};
        task.pool = PoolName{value.at("pool").get<std::string>()};
        task.rank = value.at("rank").get<int>();
        task.deadline = now + Duration{value.at("deadline").get<std::int64_t>()};
        task.due = now + Duration{value.at("due").get<std::int64_t>()};
        task.attempt = value.at("attempt").get<std::string>();
        task.stage = value.at("stage").get<std::uint32_t>();
        task.pieces = value.at("pieces").get<std::uint32_t>();
        task.key = value.at("key").get<std::string>();
        for (const json &input : value.at("inputs")) {
            task.inputs.push_back({input.at("handle").get<std::string>(),
                                   InstanceName{input.at("endpoint").get<std::string>()},
                                   input.at("address").get<std::string>(), input.at("bytes").get<std::uint64_t>()});
        }
        task.resultBytes = value.at("bytes").get<std::uint64_t>();
        task.zone = ZoneName{value.at("zone").get<std::string>()};
        for (const json &one : value.at("held")) {
            task.held.push_back(
                {InstanceName{one.at("endpoint").get<std::string>()}, one.at("bytes").get<std::uint64_t>()});
        }
        return task;
    });
}

std::string write(const std::vector<StageOutcome> &outcomes)
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

absl::StatusOr<std::vector<StageOutcome>> readOutcomes(const std::string &text, StageTaskId task)
{
    return read(text, [task](const json &value) {
        std::vector<StageOutcome> outcomes;
        for (const json &one : value) {
            const auto failure = enumFromName<PieceFailure>(one.at("failure").get<std::string>());
            outcomes.push_back({task, one.at("piece").get<std::uint32_t>(),
                                PieceResult{one.at("handle").get<std::string>(), failure.value_or(PieceFailure::Error)},
                                InstanceName{one.at("endpoint").get<std::string>()},
                                one.at("address").get<std::string>()});
        }
        return outcomes;
    });
}

std::string writeHandles(const std::vector<std::string> &handles)
{
    return dump(handles);
}

absl::StatusOr<std::vector<std::string>> readHandles(const std::string &text)
{
    return read(text, [](const json &value) { return value.get<std::vector<std::string>>(); });
}

} // namespace bergamottide::peerwire
