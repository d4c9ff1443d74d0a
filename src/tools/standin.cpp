/*!
 * @file
 * @brief Test doubles of the external services: endpoints, configuration service, instance list and others.
 *
 * Each process runs one kind. Prints one JSON line with its listen address, then serves until it is killed.
 */
#include "bergamottide/core/enumnames.h"
#include "bergamottide/net/httpserver.h"
#include "bergamottide/net/loop.h"
#include "standin/callstandin.h"
#include "standin/enginestandin.h"
#include "standin/relay.h"
#include "standin/watchedvalue.h"
#include "standin/weightstandin.h"

#include <gflags/gflags.h>

#include <atomic>
#include <csignal>
#include <iostream>
#include <memory>
#include <string>

#include <unistd.h>

DEFINE_string(kind, "stage", "engine, stage, service, weights, config, instances or relay");
DEFINE_string(name, "", "Name of the endpoint in its responses");
DEFINE_string(listen, "127.0.0.1:0", "IP address and port to listen on");
DEFINE_int32(base_us, 5000, "Service time before the answer or the first token, in microseconds");
DEFINE_int32(token_us, 1000, "Service time for each token, in microseconds");
DEFINE_double(jitter, 0.0, "Half width of the uniform jitter of service times, from 0 to 1");
DEFINE_uint64(seed, 1, "Seed of jitter and faults");
DEFINE_uint32(concurrency, 64, "Maximum number of runs executed concurrently");
DEFINE_double(fail_share, 0.0, "Share of runs answered 500");
DEFINE_double(refuse_share, 0.0, "Share of runs refused before they start");
DEFINE_uint32(tokens_per_event, 1, "Tokens in one event of an engine");
DEFINE_uint32(tokens, 16, "Default number of tokens of a run");
DEFINE_bool(honours_fencing, true, "An engine rejects orders with an outdated fencing token");
DEFINE_uint32(break_after_events, 0, "Events after which an engine's stream breaks off; 0 for never");
DEFINE_double(reads_per_second, 10.0, "Reads that the weight store allows");
DEFINE_string(target, "", "Address to which a relay forwards connections");
DEFINE_uint32(max_seconds, 900, "Seconds after which the process exits by itself");

namespace {

using namespace bergamottide;
using namespace bergamottide::standin;

enum class Kind : std::uint8_t
{
    Engine,
    Stage,
    Service,
    Weights,
    Config,
    Instances,
    Relay
};

std::atomic<bool> silenceRequested{false};

ServiceTimeLaw serviceTimeLaw()
{
    return ServiceTimeLaw{std::chrono::microseconds{FLAGS_base_us}, std::chrono::microseconds{FLAGS_token_us},
                          FLAGS_jitter, FLAGS_seed};
}

EngineOptions engineOptions()
{
    EngineOptions options;
    options.name = FLAGS_name;
    options.law = serviceTimeLaw();
    options.concurrency = FLAGS_concurrency;
    options.tokensPerEvent = FLAGS_tokens_per_event;
    options.defaultTokens = FLAGS_tokens;
    options.honoursFencing = FLAGS_honours_fencing;
    options.breakAfterEvents = FLAGS_break_after_events;
    return options;
}

void printAddress(const std::string &address)
{
    std::cout << R"({"address":")" << address << R"(","pid":)" << getpid() << "}" << std::endl;
}

std::unique_ptr<StandIn> makeStandIn(Kind kind, Loop &loop)
{
    switch (kind) {
    case Kind::Engine:
        return std::make_unique<EngineStandIn>(loop, engineOptions());
    case Kind::Weights:
        return std::make_unique<WeightStandIn>(loop, FLAGS_reads_per_second);
    case Kind::Config:
        return std::make_unique<WatchedValue>(loop, "/v1/config", "application/yaml", publishDocument);
    case Kind::Instances:
        return std::make_unique<WatchedValue>(loop, "/v1/instances", "application/json", publishInstances);
    case Kind::Stage:
    case Kind::Service:
    case Kind::Relay:
        break;
    }
    CallOptions options{FLAGS_name, serviceTimeLaw(), FLAGS_concurrency, FLAGS_fail_share, FLAGS_refuse_share};
    return std::make_unique<CallStandIn>(loop, options);
}

int serve(Kind kind)
{
    const SystemClock clock;
    Loop loop{clock};
    const auto standIn = makeStandIn(kind, loop);
    HttpServerOptions options;
    options.listen = FLAGS_listen;
    HttpServer server{loop, options, [&standIn](HttpRequest request, std::shared_ptr<HttpResponder> responder) {
                          standIn->handle(std::move(request), std::move(responder));
                      }};
    const absl::Status status = server.listen();
    if (!status.ok()) {
        std::cerr << status.message() << "\n";
        return 1;
    }
    printAddress(server.address());
    loop.run();
    return 0;
}

int runRelay()
{
    constexpr int pollTimeoutMs = 20;
    Relay relay{FLAGS_target};
    std::signal(SIGUSR1, [](int) { silenceRequested = true; });
    printAddress(relay.address());
    while (true) {
        relay.runOnce(pollTimeoutMs);
        if (silenceRequested.exchange(false)) {
            relay.silence();
        }
    }
}

} // namespace

template <>
struct bergamottide::EnumNames<Kind>
{
    static constexpr std::array<std::string_view, 7> names{"engine", "stage",     "service", "weights",
                                                           "config", "instances", "relay"};
};

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto kind = enumFromName<Kind>(FLAGS_kind);
    if (!kind) {
        std::cerr << "unknown --kind " << FLAGS_kind << "\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    alarm(FLAGS_max_seconds);
    return *kind == Kind::Relay ? runRelay() : serve(*kind);
}
