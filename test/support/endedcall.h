#pragma once

#include "bergamottide/net/httpclient.h"

#include <optional>
#include <utility>

namespace bergamottide::test {

/*! @brief How a call has ended; neither is set before. */
struct EndedCall
{
    std::optional<HttpResponse> answer;
    std::optional<HttpFailure> failure;
};

/*! @brief Returns hooks that record how a call ends; the outcome outlives the call. */
inline HttpCallHooks recordingHooks(EndedCall &outcome)
{
    HttpCallHooks hooks;
    hooks.done = [&outcome](HttpResponse answer) {
        outcome.answer = std::move(answer);
    };
    hooks.failed = [&outcome](HttpFailure failure) {
        outcome.failure = failure;
    };
    return hooks;
}

} // namespace bergamottide::test
