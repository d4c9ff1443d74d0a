#include "standin/standin.h"

#include <utility>

namespace bergamottide::standin {

void answerJson(HttpResponder &responder, int status, std::string body)
{
    responder.respond(HttpResponse{status, {{"content-type", "application/json"}}, std::move(body)});
}

} // namespace bergamottide::standin
