#pragma once

#include "bergamottide/net/http.h"
#include "bergamottide/net/httpclient.h"
#include "bergamottide/sidecar/sidecarevents.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bergamottide {

/**
 * @file
 * @brief HTTP requests to endpoints and interpretation of their responses.
 */

/**
 * @brief Returns the identifier of a run on the wire.
 * @param run Run.
 * @return `REQUEST-STAGE-ATTEMPT`; needs no escaping in a URL path.
 */
[[nodiscard]] std::string runName(const RunId &run);

/**
 * @brief Creates the request to an encoder, retriever or reranker.
 * @param start Run to start.
 * @return `POST /v1/run` with the body `{"request":…,"previous":…}`.
 */
[[nodiscard]] HttpRequest stageRequest(const StartEndpointRun &start);

/**
 * @brief Creates the request to a plain service.
 * @param start Run to start.
 * @return Method and path of the pool with the caller's unmodified body.
 */
[[nodiscard]] HttpRequest serviceRequest(const StartEndpointRun &start);

/**
 * @brief Creates the request for a generation by a model engine.
 * @param start Run to start.
 * @param fromToken Number of tokens already received; the engine sends the tokens after them.
 * @param resume True to continue a run that the engine still holds; the engine then starts no new run.
 * @return `POST /v1/generate`.
 */
[[nodiscard]] HttpRequest generateRequest(const StartEndpointRun &start, std::uint32_t fromToken, bool resume);

/**
 * @brief Creates the request that cancels a run at an engine.
 * @param run Run to cancel.
 * @return `DELETE /v1/generate/RUN`.
 */
[[nodiscard]] HttpRequest cancelRequest(const RunId &run);

/**
 * @brief Creates the request that sends an order to an engine.
 * @param order Order to send.
 * @return `POST /v1/orders`.
 */
[[nodiscard]] HttpRequest orderRequest(const SendOrder &order);

/**
 * @brief Parses a load report.
 * @param body Response body of `GET /v1/load`.
 * @return The report, or nothing if it is malformed.
 */
[[nodiscard]] std::optional<EndpointLoadReport> parseLoadReport(std::string_view body);

/*! @brief Data of a `token` event in an engine's stream. */
struct TokenEvent
{
    /*! @brief Number of tokens before this event. */
    std::uint32_t offset{};
    /*! @brief Number of tokens in this event. */
    std::uint32_t tokens{};
    std::string text;
};

/**
 * @brief Parses the data of a `token` event.
 * @param data Data of the event.
 * @return The event, or nothing if it is malformed.
 */
[[nodiscard]] std::optional<TokenEvent> parseTokenEvent(std::string_view data);

/*! @brief Outcome of an HTTP call, as reported to the sidecar. */
struct CallOutcome
{
    EndpointResult result{};
    Reason reason{};
};

/**
 * @brief Derives the outcome of a run from the head of a response.
 *
 * Only a 429 or 503 with `X-Not-Started: 1` counts as a refusal; after any other status
 * outside of 200 to 299 the run may have started.
 *
 * @param status HTTP status code.
 * @param headers HTTP headers.
 * @return Completed, refused or failed.
 */
[[nodiscard]] CallOutcome classifyResponse(int status, const HttpHeaders &headers);

/**
 * @brief Derives the outcome of a run from a call without a complete response.
 * @param failure Cause of the failure.
 * @return Refused if no connection was established, otherwise failed.
 */
[[nodiscard]] CallOutcome classifyFailure(HttpFailure failure);

} // namespace bergamottide
