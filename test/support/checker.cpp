#include "support/checker.h"

#include "support/describe.h"
#include "support/fakeendpoint.h"

#include <numeric>
#include <utility>

namespace bergamottide::test {

namespace {

/*! @brief Result of the stages before one; empty for the first. */
std::string resultBefore(const Truth &truth, std::size_t stage)
{
    std::string result;
    for (std::size_t index = 0; index < stage; ++index) {
        result = stageResult(truth.stages[index], truth.body, result);
    }
    return result;
}

std::string requestText(const RequestId &request)
{
    return "request " + std::to_string(request.low);
}

} // namespace

void Checker::expect(Truth truth)
{
    Record &record = m_records[truth.request];
    record.starts.assign(truth.stages.size(), 0);
    record.truth = std::move(truth);
}

void Checker::called(CallId call, const RequestId &request, const InstanceName &entry, Duration now)
{
    m_calls[call] = Call{request, entry, {}, 0, false};
    m_records.at(request).lastCall = now;
}

void Checker::callLost(CallId call)
{
    m_calls.at(call).lost = true;
}

void Checker::entryLost(const InstanceName &entry)
{
    for (auto &[id, call] : m_calls) {
        if (call.entry == entry) {
            call.lost = true;
        }
    }
}

void Checker::started(const InstanceName &side, const StartEndpointRun &start, Duration now)
{
    const RunId &run = start.spec.run;
    const auto found = m_records.find(run.request);
    if (found == m_records.end() || run.stage >= found->second.starts.size()) {
        violate("the endpoint of " + side.text() + " started " + describe(run) + ", which nobody asked for");
        return;
    }
    Record &record = found->second;
    ++record.starts[run.stage];
    if (start.spec.body != record.truth.body || start.spec.previousResult != resultBefore(record.truth, run.stage)) {
        violate(describe(run) + " was started with the work of another request or stage");
    }
    const bool last = run.stage + 1 == record.starts.size();
    if (last && record.truth.onceOnly && record.starts.back() > 1) {
        violate(requestText(run.request) + " ran " + std::to_string(record.starts.back()) + " times");
    }
    if (record.notRunAt && record.lastCall <= *record.notRunAt) {
        violate(requestText(run.request) + " was started after a caller was told not_run");
    }
    if (last && record.truth.onceOnly && record.noEffectAt && record.lastCall <= *record.noEffectAt) {
        violate(requestText(run.request) + " took effect after a caller was told that it had not");
    }
    const auto sign = m_leaving.find(side);
    if (sign != m_leaving.end() && now > sign->second + leavingGrace) {
        violate("the leaving endpoint of " + side.text() + " got " + describe(run) + " "
                + std::to_string((now - sign->second).count()) + " us after the first sign");
    }
}

void Checker::leaving(const InstanceName &side, Duration now)
{
    m_leaving.emplace(side, now);
}

void Checker::told(const EntryEffect &effect, Duration now)
{
    if (const auto *piece = std::get_if<SendResultPiece>(&effect)) {
        Call &call = m_calls.at(piece->call);
        call.received += piece->piece;
        if (call.answers > 0) {
            violate(requestText(call.request) + " got a piece after its answer");
        }
        return;
    }
    const auto *answer = std::get_if<SendAnswer>(&effect);
    if (answer == nullptr) {
        return;
    }
    const auto found = m_calls.find(answer->call);
    if (found == m_calls.end()) {
        violate("an answer came for a call that was never made");
        return;
    }
    checkAnswer(found->second, *answer, now);
}

void Checker::checkAnswer(Call &call, const SendAnswer &answer, Duration now)
{
    Record &record = m_records.at(call.request);
    ++m_outcomes[answer.outcome];
    if (++call.answers > 1) {
        violate(requestText(call.request) + " got " + std::to_string(call.answers) + " answers to one call");
    }
    const auto right = rightAnswer(record.truth);
    const auto received = call.received + answer.body;
    if (answer.outcome == Outcome::Completed && received != right) {
        violate(requestText(call.request) + " got a wrong or torn answer: '" + received + "' for '" + right + "'");
    }
    if (answer.outcome != Outcome::Completed && !right.starts_with(call.received)) {
        violate(requestText(call.request) + " got a piece that is not its own");
    }
    checkRefusal(record, answer, now);
}

void Checker::checkRefusal(Record &record, const SendAnswer &answer, Duration now)
{
    const auto &truth = record.truth;
    if (answer.outcome == Outcome::NotRun) {
        record.notRunAt = now;
        if (executions(truth.request) > 0) {
            violate(requestText(truth.request) + " was told not_run (" + std::string{enumName(answer.reason)}
                    + ") but had been started");
        }
    }
    if (truth.onceOnly && (answer.outcome == Outcome::NotRun || answer.outcome == Outcome::Incomplete)) {
        record.noEffectAt = now;
        if (record.starts.back() > 0) {
            violate(requestText(truth.request) + " was told " + std::string{enumName(answer.outcome)} + " ("
                    + std::string{enumName(answer.reason)} + ") but its last stage had been started");
        }
    }
}

void Checker::violate(std::string what)
{
    m_violations.push_back(std::move(what));
}

void Checker::finish()
{
    for (const auto &[id, call] : m_calls) {
        if (call.answers == 0 && !call.lost) {
            violate(requestText(call.request) + " never got an answer from " + call.entry.text());
        }
    }
}

const std::vector<std::string> &Checker::violations() const noexcept
{
    return m_violations;
}

std::uint32_t Checker::executions(const RequestId &request, std::optional<std::uint32_t> stage) const
{
    const Record &record = m_records.at(request);
    return stage ? record.starts.at(*stage) : std::accumulate(record.starts.begin(), record.starts.end(), 0U);
}

std::string Checker::rightAnswer(const Truth &truth)
{
    return resultBefore(truth, truth.stages.size());
}

const std::map<Outcome, std::uint32_t> &Checker::outcomes() const noexcept
{
    return m_outcomes;
}

} // namespace bergamottide::test
