#include "bergamottide/net/http.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

namespace bergamottide {

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

std::string_view queryValue(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const auto end = query.find('&');
        const std::string_view pair = query.substr(0, end);
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
            return pair.substr(equals + 1);
        }
        if (end == std::string_view::npos) {
            break;
        }
        query.remove_prefix(end + 1);
    }
    return {};
}

} // namespace bergamottide
