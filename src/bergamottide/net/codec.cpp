#include "bergamottide/net/codec.h"

#include <type_traits>
#include <utility>

namespace bergamottide {

namespace {

void write(const RequestId &id, wire::Request *out)
{
    out->set_high(id.high);
    out->set_low(id.low);
}

void write(const RunId &id, wire::Run *out)
{
    write(id.request, out->mutable_request());
    out->set_stage(id.stage);
    out->set_attempt(id.attempt);
}

RequestId read(const wire::Request &in)
{
    return RequestId{in.high(), in.low()};
}

RunId read(const wire::Run &in)
{
    return RunId{read(in.request()), in.stage(), in.attempt()};
}

Duration duration(std::int64_t microseconds)
{
    return Duration{microseconds};
}

template <typename Enum>
std::uint32_t number(Enum value)
{
    return static_cast<std::uint32_t>(value);
}

/*! @brief Reads an enumerator; clears `known` for a number outside of the table. */
template <typename Enum>
Enum enumerator(std::uint32_t value, bool &known)
{
    known = known && value < EnumNames<Enum>::names.size();
    return static_cast<Enum>(value);
}

void write(const Hello &message, wire::Frame &frame)
{
    auto *out = frame.mutable_hello();
    out->set_instance(message.instance.text());
    out->set_incarnation(static_cast<std::uint64_t>(message.incarnation));
    out->set_config_version(message.configVersion);
}

void write(const OpenRequest &message, wire::Frame &frame)
{
    auto *out = frame.mutable_open_request();
    write(message.request, out->mutable_request());
    out->set_workspace(message.workspace.text());
    out->set_remaining(message.remaining.count());
    out->set_keyed(message.hasIdempotencyKey);
}

void write(const RequestOpened &message, wire::Frame &frame)
{
    auto *out = frame.mutable_request_opened();
    write(message.request, out->mutable_request());
    out->set_incarnation(static_cast<std::uint64_t>(message.incarnation));
    out->set_serial(static_cast<std::uint64_t>(message.serial));
    out->set_state(number(message.state));
}

void write(const OpenRefused &message, wire::Frame &frame)
{
    auto *out = frame.mutable_open_refused();
    write(message.request, out->mutable_request());
    out->set_reason(number(message.reason));
    out->set_retry_after(message.retryAfter.count());
}

void write(const StartRun &message, wire::Frame &frame)
{
    auto *out = frame.mutable_start_run();
    write(message.run, out->mutable_run());
    out->set_serial(static_cast<std::uint64_t>(message.serial));
    out->set_incarnation(static_cast<std::uint64_t>(message.incarnation));
    out->set_workspace(message.workspace.text());
    out->set_pipeline(message.pipeline.text());
    out->set_stage(message.stage.text());
    out->set_kind(message.kind.text());
    out->set_model(message.model.text());
    out->set_adapter(message.adapter.text());
    out->set_model_version(message.modelVersion);
    out->set_priority(message.priority);
    out->set_value(message.value);
    out->set_size(message.size);
    out->set_remaining(message.remaining.count());
    out->set_cost(message.cost.count());
    out->set_following(message.laterStagesCost.count());
    out->set_max_tokens(message.maxTokens);
    out->set_streaming(message.streaming);
    out->set_prefix(message.prefix);
    out->set_body(message.body);
    out->set_previous(message.previousResult);
}

void write(const CancelRun &message, wire::Frame &frame)
{
    auto *out = frame.mutable_cancel_run();
    write(message.run, out->mutable_run());
    out->set_serial(static_cast<std::uint64_t>(message.serial));
}

void write(const RunProgress &message, wire::Frame &frame)
{
    auto *out = frame.mutable_run_progress();
    write(message.run, out->mutable_run());
    out->set_state(number(message.state));
    out->set_offset(message.offset);
    out->set_piece(message.piece);
    out->set_tokens(message.tokens);
}

void write(const RunFinished &message, wire::Frame &frame)
{
    auto *out = frame.mutable_run_finished();
    write(message.run, out->mutable_run());
    out->set_state(number(message.state));
    out->set_reason(number(message.reason));
    out->set_length(message.length);
    out->set_digest(message.digest);
    out->set_service(message.serviceTime.count());
    out->set_waited(message.queueTime.count());
    out->set_tokens(message.tokens);
    out->set_retry_after(message.retryAfter.count());
}

void write(const RunAcknowledged &message, wire::Frame &frame)
{
    write(message.run, frame.mutable_run_acknowledged()->mutable_run());
}

void write(const QueryRuns &message, wire::Frame &frame)
{
    auto *out = frame.mutable_query_runs();
    for (const auto &item : message.items) {
        auto *next = out->add_items();
        write(item.run, next->mutable_run());
        next->set_offset(item.offset);
    }
}

void write(const RunStates &message, wire::Frame &frame)
{
    auto *out = frame.mutable_run_states();
    out->set_incarnation(static_cast<std::uint64_t>(message.incarnation));
    for (const auto &item : message.items) {
        auto *next = out->add_items();
        write(item.run, next->mutable_run());
        next->set_state(number(item.state));
    }
}

void write(const AttachRequest &message, wire::Frame &frame)
{
    auto *out = frame.mutable_attach_request();
    write(message.request, out->mutable_request());
    out->set_incarnation(static_cast<std::uint64_t>(message.incarnation));
    out->set_serial(static_cast<std::uint64_t>(message.serial));
    out->set_offset(message.offset);
}

void write(const SealRequest &message, wire::Frame &frame)
{
    auto *out = frame.mutable_seal_request();
    write(message.request, out->mutable_request());
    out->set_incarnation(static_cast<std::uint64_t>(message.incarnation));
    out->set_serial(static_cast<std::uint64_t>(message.serial));
}

void write(const RequestState &message, wire::Frame &frame)
{
    auto *out = frame.mutable_request_state();
    write(message.request, out->mutable_request());
    out->set_incarnation(static_cast<std::uint64_t>(message.incarnation));
    out->set_serial(static_cast<std::uint64_t>(message.serial));
    out->set_state(number(message.state));
    write(message.run, out->mutable_run());
}

void write(const LoadReport &message, wire::Frame &frame)
{
    auto *out = frame.mutable_load_report();
    out->set_incarnation(static_cast<std::uint64_t>(message.incarnation));
    out->set_draining(message.draining);
    out->set_queued(message.queued);
    out->set_running(message.running);
    out->set_concurrency(message.concurrency);
    out->set_wait(message.wait.count());
    for (const auto &wait : message.waits) {
        auto *next = out->add_waits();
        next->set_workspace(wait.workspace.text());
        next->set_wait(wait.wait.count());
    }
    out->set_service_per_unit(message.servicePerUnit);
    out->set_failure_share(message.failureShare);
    for (const auto &model : message.models) {
        out->add_models(model.text());
    }
}

void write(const ConfigSubscribe &message, wire::Frame &frame)
{
    auto *out = frame.mutable_config_subscribe();
    out->set_version(message.version);
    out->set_digest(message.digest);
}

void write(const ConfigDelta &message, wire::Frame &frame)
{
    auto *out = frame.mutable_config_delta();
    out->set_version(message.version);
    out->set_digest(message.digest);
    out->set_base(message.base);
    out->set_base_digest(message.baseDigest);
    out->set_source_age(message.sourceAge.count());
    for (const auto &section : message.sections) {
        auto *next = out->add_sections();
        next->set_name(section.name);
        next->set_text(section.text);
    }
}

void write(const Ping &message, wire::Frame &frame)
{
    frame.mutable_ping()->set_sequence(message.sequence);
}

void write(const Pong &message, wire::Frame &frame)
{
    frame.mutable_pong()->set_sequence(message.sequence);
}

Message read(const wire::Hello &in, bool &)
{
    return Hello{InstanceName{in.instance()}, Incarnation{in.incarnation()}, in.config_version()};
}

Message read(const wire::OpenRequest &in, bool &)
{
    return OpenRequest{read(in.request()), WorkspaceName{in.workspace()}, duration(in.remaining()), in.keyed()};
}

Message read(const wire::RequestOpened &in, bool &known)
{
    return RequestOpened{read(in.request()), Incarnation{in.incarnation()}, Serial{in.serial()},
                         enumerator<LedgerState>(in.state(), known)};
}

Message read(const wire::OpenRefused &in, bool &known)
{
    return OpenRefused{read(in.request()), enumerator<Reason>(in.reason(), known), duration(in.retry_after())};
}

Message read(wire::StartRun &in, bool &)
{
    StartRun out;
    out.run = read(in.run());
    out.serial = Serial{in.serial()};
    out.incarnation = Incarnation{in.incarnation()};
    out.workspace = WorkspaceName{in.workspace()};
    out.pipeline = PipelineName{in.pipeline()};
    out.stage = StageName{in.stage()};
    out.kind = KindName{in.kind()};
    out.model = ModelName{in.model()};
    out.adapter = AdapterName{in.adapter()};
    out.modelVersion = in.model_version();
    out.priority = in.priority();
    out.value = in.value();
    out.size = in.size();
    out.remaining = duration(in.remaining());
    out.cost = duration(in.cost());
    out.laterStagesCost = duration(in.following());
    out.maxTokens = in.max_tokens();
    out.streaming = in.streaming();
    out.prefix = in.prefix();
    out.body = std::move(*in.mutable_body());
    out.previousResult = std::move(*in.mutable_previous());
    return out;
}

Message read(const wire::CancelRun &in, bool &)
{
    return CancelRun{read(in.run()), Serial{in.serial()}};
}

Message read(wire::RunProgress &in, bool &known)
{
    return RunProgress{read(in.run()), enumerator<RunState>(in.state(), known), in.offset(),
                       std::move(*in.mutable_piece()), in.tokens()};
}

Message read(const wire::RunFinished &in, bool &known)
{
    RunFinished out;
    out.run = read(in.run());
    out.state = enumerator<RunState>(in.state(), known);
    out.reason = enumerator<Reason>(in.reason(), known);
    out.length = in.length();
    out.digest = in.digest();
    out.serviceTime = duration(in.service());
    out.queueTime = duration(in.waited());
    out.tokens = in.tokens();
    out.retryAfter = duration(in.retry_after());
    return out;
}

Message read(const wire::RunAcknowledged &in, bool &)
{
    return RunAcknowledged{read(in.run())};
}

Message read(const wire::QueryRuns &in, bool &)
{
    QueryRuns out;
    for (const auto &item : in.items()) {
        out.items.push_back({read(item.run()), item.offset()});
    }
    return out;
}

Message read(const wire::RunStates &in, bool &known)
{
    RunStates out;
    out.incarnation = Incarnation{in.incarnation()};
    for (const auto &item : in.items()) {
        out.items.push_back({read(item.run()), enumerator<RunState>(item.state(), known)});
    }
    return out;
}

Message read(const wire::AttachRequest &in, bool &)
{
    return AttachRequest{read(in.request()), Incarnation{in.incarnation()}, Serial{in.serial()}, in.offset()};
}

Message read(const wire::SealRequest &in, bool &)
{
    return SealRequest{read(in.request()), Incarnation{in.incarnation()}, Serial{in.serial()}};
}

Message read(const wire::RequestState &in, bool &known)
{
    return RequestState{read(in.request()), Incarnation{in.incarnation()}, Serial{in.serial()},
                        enumerator<LedgerState>(in.state(), known), read(in.run())};
}

Message read(const wire::LoadReport &in, bool &)
{
    LoadReport out;
    out.incarnation = Incarnation{in.incarnation()};
    out.draining = in.draining();
    out.queued = in.queued();
    out.running = in.running();
    out.concurrency = in.concurrency();
    out.wait = duration(in.wait());
    for (const auto &wait : in.waits()) {
        out.waits.push_back({WorkspaceName{wait.workspace()}, duration(wait.wait())});
    }
    out.servicePerUnit = in.service_per_unit();
    out.failureShare = in.failure_share();
    for (const auto &model : in.models()) {
        out.models.emplace_back(model);
    }
    return out;
}

Message read(const wire::ConfigSubscribe &in, bool &)
{
    return ConfigSubscribe{in.version(), in.digest()};
}

Message read(const wire::ConfigDelta &in, bool &)
{
    ConfigDelta out{in.version(), in.digest(), in.base(), in.base_digest(), {}, duration(in.source_age())};
    for (const auto &section : in.sections()) {
        out.sections.push_back({section.name(), section.text()});
    }
    return out;
}

Message read(const wire::Ping &in, bool &)
{
    return Ping{in.sequence()};
}

Message read(const wire::Pong &in, bool &)
{
    return Pong{in.sequence()};
}

std::optional<Message> readBody(wire::Frame &frame, bool &known)
{
    switch (frame.body_case()) {
    case wire::Frame::kHello:
        return read(frame.hello(), known);
    case wire::Frame::kOpenRequest:
        return read(frame.open_request(), known);
    case wire::Frame::kRequestOpened:
        return read(frame.request_opened(), known);
    case wire::Frame::kOpenRefused:
        return read(frame.open_refused(), known);
    case wire::Frame::kStartRun:
        return read(*frame.mutable_start_run(), known);
    case wire::Frame::kCancelRun:
        return read(frame.cancel_run(), known);
    case wire::Frame::kRunProgress:
        return read(*frame.mutable_run_progress(), known);
    case wire::Frame::kRunFinished:
        return read(frame.run_finished(), known);
    case wire::Frame::kRunAcknowledged:
        return read(frame.run_acknowledged(), known);
    case wire::Frame::kQueryRuns:
        return read(frame.query_runs(), known);
    case wire::Frame::kRunStates:
        return read(frame.run_states(), known);
    case wire::Frame::kAttachRequest:
        return read(frame.attach_request(), known);
    case wire::Frame::kSealRequest:
        return read(frame.seal_request(), known);
    case wire::Frame::kRequestState:
        return read(frame.request_state(), known);
    case wire::Frame::kLoadReport:
        return read(frame.load_report(), known);
    case wire::Frame::kConfigSubscribe:
        return read(frame.config_subscribe(), known);
    case wire::Frame::kConfigDelta:
        return read(frame.config_delta(), known);
    case wire::Frame::kPing:
        return read(frame.ping(), known);
    case wire::Frame::kPong:
        return read(frame.pong(), known);
    case wire::Frame::kBatch:
    case wire::Frame::BODY_NOT_SET:
        break;
    }
    return std::nullopt;
}

} // namespace

wire::Frame toFrame(const Message &message)
{
    wire::Frame frame;
    std::visit([&frame](const auto &body) { write(body, frame); }, message);
    return frame;
}

std::optional<Message> fromFrame(wire::Frame &frame)
{
    bool known = true;
    auto message = readBody(frame, known);
    return known ? std::move(message) : std::nullopt;
}

} // namespace bergamottide
