#pragma once

#include "bergamottide/net/httpserver.h"

#include <memory>
#include <string>

namespace bergamottide::standin {

/*! @brief A small replacement of one thing that the system talks to. */
class StandIn
{
public:
    virtual ~StandIn() = default;

    /**
     * @brief Handles one request.
     * @param request Request.
     * @param responder Way to answer.
     */
    virtual void handle(HttpRequest request, std::shared_ptr<HttpResponder> responder) = 0;
};

/**
 * @brief Answers with JSON.
 * @param responder Way to answer.
 * @param status HTTP status.
 * @param body JSON text.
 */
void answerJson(HttpResponder &responder, int status, std::string body);

} // namespace bergamottide::standin
