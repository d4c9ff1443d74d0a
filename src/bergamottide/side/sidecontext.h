#pragma once

#include "bergamottide/side/outbox.h"
#include "bergamottide/side/peertable.h"
#include "bergamottide/side/sidereducer.h"

#include <memory>

namespace bergamottide {

/*! @brief What all parts of a side share while they handle an event. */
struct SideContext
{
    SideIdentity identity;
    /*! @brief Document in force; null until one has come. */
    std::shared_ptr<const Document> document;
    /*! @brief Instance list as last heard; null until one has come. */
    std::shared_ptr<const InstanceView> view;
    /*! @brief Pool of this side's endpoint, from the document. */
    Pool pool;
    /*! @brief Limits in force; the defaults until a document has come. */
    Policy policy;
    /*! @brief Time at which the present event is handled. */
    TimePoint now;
    bool draining{};
    /*! @brief Time of the first sign of the present drain. */
    TimePoint drainingSince;
    /*! @brief Time at which the latest pause of the process may have begun. */
    TimePoint pausedSince;
    PeerTable peers;
    Outbox out;
};

} // namespace bergamottide
