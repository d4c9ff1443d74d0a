#include "bergamottide/net/headcheck.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/string_view.h>

#include <algorithm>
#include <string>

namespace bergamottide::internal {

namespace {

/*! @brief Digits of the largest length taken; more would not fit the integers of the client. */
constexpr std::size_t maxLengthDigits = 18;
constexpr absl::string_view protocol = "HTTP/1.";
/*! @brief Position of the status in a status line such as `HTTP/1.1 200 OK`. */
constexpr std::size_t statusAt = 9;
constexpr absl::string_view switchingProtocols = "101";
constexpr absl::string_view chunkedCoding = "chunked";

/*! @brief Headers of one head that say how its body ends. */
struct Framing
{
    std::string length;
    std::string encoding;
};

absl::string_view textOf(std::span<const char> bytes)
{
    return {bytes.data(), bytes.size()};
}

bool isLength(absl::string_view value)
{
    return !value.empty() && value.size() <= maxLengthDigits
        && std::all_of(value.begin(), value.end(), [](char digit) { return absl::ascii_isdigit(digit); });
}

/*! @brief Writes a value to the end of its place behind blanks, since h2o cuts the leading blanks only. */
void rewrite(std::span<char> place, const std::string &value)
{
    std::fill(place.begin(), place.end(), ' ');
    std::copy(value.begin(), value.end(), place.end() - static_cast<std::ptrdiff_t>(value.size()));
}

/*! @brief Returns false if the value is another one than that of a former header of the same name. */
bool keep(std::string &former, const std::string &value)
{
    const bool isEqual = former.empty() || former == value;
    former = value;
    return isEqual;
}

bool checkLine(std::span<char> line, Framing &framing)
{
    const absl::string_view text = textOf(line);
    const auto colon = text.find(':');
    if (colon == absl::string_view::npos || absl::ascii_isspace(text.front())) {
        return false;
    }
    const absl::string_view name = text.substr(0, colon);
    if (absl::ascii_isspace(name.empty() ? ' ' : name.back())) {
        return false;
    }
    const std::span<char> place = line.subspan(colon + 1);
    const std::string value = absl::AsciiStrToLower(absl::StripAsciiWhitespace(textOf(place)));
    if (absl::EqualsIgnoreCase(name, "content-length")) {
        rewrite(place, value);
        return isLength(value) && keep(framing.length, value);
    }
    if (absl::EqualsIgnoreCase(name, "transfer-encoding")) {
        rewrite(place, value);
        return (value == chunkedCoding || value == "identity") && keep(framing.encoding, value);
    }
    return true;
}

/*! @brief Returns whether a head tells its body's end both by length and by chunks, of which h2o confuses the sizes. */
bool isAmbiguous(const Framing &framing)
{
    return !framing.length.empty() && framing.encoding == chunkedCoding;
}

/*! @brief Returns whether another head follows this status line. */
bool isInterim(absl::string_view statusLine)
{
    return statusLine[statusAt] == '1';
}

/*! @brief Returns false also for a change of protocol, which no request of the client asks for. */
bool isStatusLine(absl::string_view line)
{
    return absl::StartsWith(line, protocol) && line.size() >= statusAt + switchingProtocols.size()
        && line[statusAt - 1] == ' ' && absl::ascii_isdigit(line[statusAt]) && line[statusAt] != '0'
        && !absl::StartsWith(line.substr(statusAt), switchingProtocols);
}

} // namespace

HeadState checkHead(std::span<char> input)
{
    bool isAtStatus = true;
    bool isLastHead = true;
    Framing framing;
    for (auto end = textOf(input).find('\n'); end != absl::string_view::npos; end = textOf(input).find('\n')) {
        std::span<char> line = input.first(end);
        if (!line.empty() && line.back() == '\r') {
            line = line.first(line.size() - 1);
        }
        input = input.subspan(end + 1);
        if (isAtStatus) {
            if (!isStatusLine(textOf(line))) {
                return HeadState::Malformed;
            }
            isLastHead = !isInterim(textOf(line));
            framing = {};
            isAtStatus = false;
            continue;
        }
        if (line.empty()) {
            if (isLastHead) {
                return isAmbiguous(framing) ? HeadState::Malformed : HeadState::Sound;
            }
            isAtStatus = true;
            continue;
        }
        if (!checkLine(line, framing)) {
            return HeadState::Malformed;
        }
    }
    return HeadState::Incomplete;
}

} // namespace bergamottide::internal
