#include "bergamottide/net/requestframing.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/string_view.h>

#include <algorithm>
#include <cstddef>
#include <limits>
#include <optional>

namespace bergamottide::internal {

namespace {

struct Framing
{
    absl::string_view length;
    std::size_t codings{};
};

absl::string_view takeLine(absl::string_view &input)
{
    const auto end = std::min(input.find('\n'), input.size());
    absl::string_view line = input.substr(0, end);
    input.remove_prefix(std::min(end + 1, input.size()));
    if (!line.empty() && line.back() == '\r') {
        line.remove_suffix(1);
    }
    return line;
}

bool isLength(absl::string_view value)
{
    return !value.empty()
        && std::all_of(value.begin(), value.end(), [](char digit) { return absl::ascii_isdigit(digit); });
}

bool readLine(absl::string_view line, Framing &framing)
{
    const auto colon = line.find(':');
    if (colon == absl::string_view::npos || colon == 0 || absl::ascii_isspace(line.front())
        || absl::ascii_isspace(line[colon - 1])) {
        return false;
    }
    const absl::string_view name = line.substr(0, colon);
    const absl::string_view value = absl::StripAsciiWhitespace(line.substr(colon + 1));
    if (absl::EqualsIgnoreCase(name, "content-length")) {
        const bool isSame = framing.length.empty() || framing.length == value;
        framing.length = value;
        return isSame && isLength(value);
    }
    if (absl::EqualsIgnoreCase(name, "transfer-encoding")) {
        ++framing.codings;
        return framing.codings == 1 && absl::EqualsIgnoreCase(value, "chunked");
    }
    return true;
}

/*! @brief Reads the lines of a head; returns nothing if one of them is malformed. */
std::optional<Framing> readFraming(std::string_view input)
{
    absl::string_view rest{input.data(), input.size()};
    // h2o skips empty lines before a request.
    while (absl::StartsWith(rest, "\r\n")) {
        rest.remove_prefix(2);
    }
    takeLine(rest);
    Framing framing;
    for (absl::string_view line = takeLine(rest); !line.empty(); line = takeLine(rest)) {
        if (!readLine(line, framing)) {
            return std::nullopt;
        }
    }
    return framing;
}

/*! @brief Returns the number of bytes of empty lines, which h2o skips before a request. */
std::size_t emptyLineBytes(std::string_view input)
{
    return std::min(input.find_first_not_of("\r\n"), input.size());
}

} // namespace

bool isFramingUnambiguous(std::string_view input)
{
    return announcedBody(input).has_value();
}

std::size_t headEnd(std::string_view input, std::size_t from)
{
    constexpr std::size_t longestEnd = 4;
    const std::size_t start = std::max(emptyLineBytes(input), from > longestEnd ? from - longestEnd : 0);
    for (std::size_t line = input.find('\n', start); line != std::string_view::npos;
         line = input.find('\n', line + 1)) {
        const std::string_view next = input.substr(line + 1);
        if (next.starts_with("\n") || next.starts_with("\r\n")) {
            return line + 1 + (next.front() == '\n' ? 1 : 2);
        }
    }
    return std::string_view::npos;
}

std::optional<RequestBody> announcedBody(std::string_view input)
{
    const auto framing = readFraming(input);
    if (!framing || (!framing->length.empty() && framing->codings != 0)) {
        return std::nullopt;
    }
    RequestBody body;
    body.isChunked = framing->codings != 0;
    if (!framing->length.empty() && !absl::SimpleAtoi(framing->length, &body.bytes)) {
        body.bytes = std::numeric_limits<std::size_t>::max();
    }
    return body;
}

} // namespace bergamottide::internal
