#pragma once

#include "bergamottide/events/requestfingerprint.h"

#include <set>

namespace bergamottide::serving {

/*! @brief What may have crashed an endpoint. */
struct Suspects
{
    /*! @brief Requests, and stages of requests. */
    std::set<RequestFingerprint> requests;
    /*! @brief Parts of their prompts. */
    std::set<RequestFingerprint> parts;

    void insert(const Suspects &others)
    {
        requests.insert(others.requests.begin(), others.requests.end());
        parts.insert(others.parts.begin(), others.parts.end());
    }
};

} // namespace bergamottide::serving
