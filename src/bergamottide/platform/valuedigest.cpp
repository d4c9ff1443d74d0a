#include "bergamottide/platform/valuedigest.h"

#include "bergamottide/core/error.h"

#include <absl/strings/str_cat.h>
#include <xxhash.h>

namespace bergamottide {

std::string valueDigest(std::string_view value)
{
    return absl::StrCat(absl::Hex(XXH3_64bits(value.data(), value.size()), absl::kZeroPad16));
}

absl::Status checkDigest(const HttpResponse &answer)
{
    const std::string_view sent = headerValue(answer.headers, digestHeader);
    if (sent.empty() || sent == valueDigest(answer.body)) {
        return absl::OkStatus();
    }
    return makeError(Reason::MalformedBody, digestHeader, "The value does not match its digest");
}

} // namespace bergamottide
