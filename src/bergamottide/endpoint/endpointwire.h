#pragma once

#include "bergamottide/net/http.h"
#include "bergamottide/net/httpclient.h"
#include "bergamottide/side/sideevents.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bergamottide {

/**
 * @file
 * @brief HTTP requests to endpoints and the meaning of their answers.
 */

/**
 * @brief Returns the name of a run on the wire.
 * @param run Run to name.
 * @return `REQUEST-STAGE-ATTEMPT`, safe within a path.
 */
[[nodiscard]] std::string runName(const RunId &run);

/**
 * @brief Makes the call of an encoder, retriever or reranker.
 * @param start Run to start.
 * @return `POST /v1/run` with the body `{"request":…,"previous":…}`.
 */
[[nodiscard]] HttpRequest stageRequest(const EndpointStart &start);

/**
 * @brief Makes the call of a plain service.
 * @param start Run to start.
 * @return Method and path of the pool with the caller's body as it stands.
 */
[[nodiscard]] HttpRequest serviceRequest(const EndpointStart &start);

/**
 * @brief Makes the call of a model engine.
 * @param start Run to start.
 * @param fromToken Tokens already held; the engine sends only those after them.
 * @param resume The engine goes on with a run that it still holds, and starts none.
 * @return `POST /v1/generate`.
 */
[[nodiscard]] HttpRequest generateRequest(const EndpointStart &start, std::uint32_t fromToken, bool resume);

/**
 * @brief Makes the call that stops a run at an engine.
 * @param run Run to stop.
 * @return `DELETE /v1/generate/RUN`.
 */
[[nodiscard]] HttpRequest stopRequest(const RunId &run);

/**
 * @brief Makes the call that gives an order to an engine.
 * @param order Order to give.
 * @return `POST /v1/orders`.
 */
[[nodiscard]] HttpRequest orderRequest(const GiveOrder &order);

/**
 * @brief Reads a load report.
 * @param body Body of the answer to `GET /v1/load`.
 * @return The report, or nothing if it is malformed.
 */
[[nodiscard]] std::optional<EndpointReport> readReport(std::string_view body);

/*! @brief One event of an engine's stream. */
struct EngineEvent
{
    /*! @brief Number of tokens before this piece. */
    std::uint32_t offset{};
    std::uint32_t tokens{};
    std::string text;
};

/**
 * @brief Reads the data of a `token` event.
 * @param data Data of the event.
 * @return The event, or nothing if it is malformed.
 */
[[nodiscard]] std::optional<EngineEvent> readEngineEvent(std::string_view data);

/*! @brief End of a call as the side is told. */
struct CallEnd
{
    EndpointResult result{};
    Reason reason{};
};

/**
 * @brief Judges the head of a whole answer.
 *
 * Only a 429 or a 503 that carries `X-Not-Started: 1` says that nothing was done; any other
 * status outside of 200 to 299 may come from an endpoint that began.
 *
 * @param status HTTP status.
 * @param headers Header lines.
 * @return What became of the run.
 */
[[nodiscard]] CallEnd judgeAnswer(int status, const HttpHeaders &headers);

/**
 * @brief Judges a call without a whole answer.
 * @param failure Why it failed.
 * @return Refused if nothing was sent, otherwise failed.
 */
[[nodiscard]] CallEnd judgeFailure(HttpFailure failure);

} // namespace bergamottide
