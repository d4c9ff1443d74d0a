#include "bergamottide/net/http.h"

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

namespace bergamottide {

namespace {

constexpr char percentSign = '%';
/*! @brief A percent sign and two hexadecimal digits. */
constexpr std::size_t encodedByteLength = 3;

bool isUnreserved(char character)
{
    constexpr std::string_view marks{"-._~"};
    return absl::ascii_isalnum(static_cast<unsigned char>(character))
        || marks.find(character) != std::string_view::npos;
}

void appendEncoded(std::string &out, std::string_view text)
{
    for (const char character : text) {
        if (isUnreserved(character)) {
            out += character;
            continue;
        }
        out += percentSign;
        out += absl::AsciiStrToUpper(absl::BytesToHexString(absl::string_view{&character, 1}));
    }
}

bool startsWithEncodedByte(std::string_view text)
{
    return text.size() >= encodedByteLength && text[0] == percentSign
        && absl::ascii_isxdigit(static_cast<unsigned char>(text[1]))
        && absl::ascii_isxdigit(static_cast<unsigned char>(text[2]));
}

std::string decodePercent(std::string_view text)
{
    std::string out;
    while (!text.empty()) {
        if (startsWithEncodedByte(text)) {
            out += absl::HexStringToBytes(absl::string_view{text.data() + 1, encodedByteLength - 1});
            text.remove_prefix(encodedByteLength);
            continue;
        }
        out += text.front();
        text.remove_prefix(1);
    }
    return out;
}

} // namespace

std::string_view headerValue(const HttpHeaders &headers, std::string_view name)
{
    const absl::string_view wanted{name.data(), name.size()};
    for (const auto &[header, value] : headers) {
        if (absl::EqualsIgnoreCase(header, wanted)) {
            return value;
        }
    }
    return {};
}

std::string requestTarget(const HttpRequest &request)
{
    const bool hasQuery = request.hasEmptyQuery || !request.query.empty();
    return absl::StrCat(request.path, hasQuery ? "?" : "", request.query);
}

std::size_t headerBytes(const HttpHeaders &headers)
{
    constexpr std::size_t lineOverhead = 4;
    std::size_t bytes = 0;
    for (const auto &[name, value] : headers) {
        bytes += name.size() + value.size() + lineOverhead;
    }
    return bytes;
}

std::string encodeQuery(const QueryParameters &parameters)
{
    std::string out;
    for (const auto &[name, value] : parameters) {
        if (!out.empty()) {
            out += '&';
        }
        appendEncoded(out, name);
        out += '=';
        appendEncoded(out, value);
    }
    return out;
}

std::string queryValue(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const auto end = query.find('&');
        const std::string_view pair = query.substr(0, end);
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
            return decodePercent(pair.substr(equals + 1));
        }
        if (end == std::string_view::npos) {
            break;
        }
        query.remove_prefix(end + 1);
    }
    return {};
}

} // namespace bergamottide
