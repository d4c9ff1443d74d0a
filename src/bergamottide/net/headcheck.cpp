#include "bergamottide/net/headcheck.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

#include <algorithm>
#include <string>

namespace bergamottide::internal {

namespace {

/*! @brief Digits of the largest length taken; more would not fit the integers of the client. */
constexpr std::size_t maxLengthDigits = 18;

bool isLength(absl::string_view value)
{
    return !value.empty() && value.size() <= maxLengthDigits
        && std::all_of(value.begin(), value.end(), [](char digit) { return absl::ascii_isdigit(digit); });
}

bool isKnownEncoding(absl::string_view value)
{
    return absl::EqualsIgnoreCase(value, "chunked") || absl::EqualsIgnoreCase(value, "identity");
}

bool lineIsSound(absl::string_view line)
{
    const auto colon = line.find(':');
    if (colon == absl::string_view::npos) {
        return true;
    }
    const absl::string_view name = absl::StripAsciiWhitespace(line.substr(0, colon));
    const absl::string_view value = absl::StripAsciiWhitespace(line.substr(colon + 1));
    if (absl::EqualsIgnoreCase(name, "content-length")) {
        return isLength(value);
    }
    return !absl::EqualsIgnoreCase(name, "transfer-encoding") || isKnownEncoding(value);
}

} // namespace

bool framingIsSound(std::string_view input)
{
    for (auto end = input.find('\n'); end != std::string_view::npos; end = input.find('\n')) {
        const absl::string_view line = absl::StripAsciiWhitespace(absl::string_view{input.data(), end});
        if (line.empty()) {
            return true;
        }
        if (!lineIsSound(line)) {
            return false;
        }
        input.remove_prefix(end + 1);
    }
    return true;
}

} // namespace bergamottide::internal
