#include "support/describe.h"

#include <type_traits>

namespace bergamottide::test {

namespace {

std::string number(std::uint64_t value)
{
    return std::to_string(value);
}

std::string serialText(Serial serial)
{
    return " serial " + number(static_cast<std::uint64_t>(serial) % 100000);
}

std::string write(const OpenRequest &message)
{
    return "OpenRequest " + number(message.request.low);
}

std::string write(const RequestOpened &message)
{
    return "RequestOpened " + number(message.request.low) + serialText(message.serial) + " "
        + std::string{enumName(message.state)};
}

std::string write(const OpenRefused &message)
{
    return "OpenRefused " + number(message.request.low) + " " + std::string{enumName(message.reason)};
}

std::string write(const StartRun &message)
{
    return "StartRun " + describe(message.run) + serialText(message.serial);
}

std::string write(const CancelRun &message)
{
    return "CancelRun " + describe(message.run) + serialText(message.serial);
}

std::string write(const RunProgress &message)
{
    return "RunProgress " + describe(message.run) + " " + std::string{enumName(message.state)} + " at "
        + number(message.offset) + "+" + number(message.piece.size());
}

std::string write(const RunFinished &message)
{
    return "RunFinished " + describe(message.run) + " " + std::string{enumName(message.state)} + " "
        + std::string{enumName(message.reason)} + " length " + number(message.length);
}

std::string write(const RunAcknowledged &message)
{
    return "RunAcknowledged " + describe(message.run);
}

std::string write(const QueryRuns &message)
{
    std::string text = "QueryRuns";
    for (const auto &item : message.items) {
        text += " " + describe(item.run) + "@" + number(item.offset);
    }
    return text;
}

std::string write(const RunStates &message)
{
    std::string text = "RunStates";
    for (const auto &item : message.items) {
        text += " " + describe(item.run) + "=" + std::string{enumName(item.state)};
    }
    return text;
}

std::string write(const AttachRequest &message)
{
    return "AttachRequest " + number(message.request.low) + serialText(message.serial);
}

std::string write(const SealRequest &message)
{
    return "SealRequest " + number(message.request.low) + serialText(message.serial);
}

std::string write(const RequestState &message)
{
    return "RequestState " + number(message.request.low) + serialText(message.serial) + " "
        + std::string{enumName(message.state)};
}

std::string write(const LoadReport &message)
{
    return "LoadReport queued " + number(message.queued) + " running " + number(message.running)
        + (message.draining ? " draining" : "");
}

std::string write(const Hello &)
{
    return "Hello";
}

std::string write(const ConfigSubscribe &)
{
    return "ConfigSubscribe";
}

std::string write(const ConfigDelta &)
{
    return "ConfigDelta";
}

std::string write(const Ping &)
{
    return "Ping";
}

std::string write(const Pong &)
{
    return "Pong";
}

} // namespace

std::string describe(const RunId &run)
{
    return number(run.request.low) + "/" + number(run.stage) + "/" + number(run.attempt);
}

std::string describe(const Message &message)
{
    return std::visit([](const auto &one) { return write(one); }, message);
}

} // namespace bergamottide::test
