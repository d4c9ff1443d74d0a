#pragma once

#include "bergamottide/sidecar/effectbuffer.h"
#include "bergamottide/sidecar/peerfreshness.h"
#include "bergamottide/sidecar/sidecarreducer.h"

#include <memory>

namespace bergamottide {

/*! @brief State shared by the components of a sidecar. */
struct SidecarContext
{
    SidecarIdentity identity;
    /*! @brief Active configuration document; null until one has been received. */
    std::shared_ptr<const Document> document;
    /*! @brief Last received instance list; null until one has been received. */
    std::shared_ptr<const InstanceView> view;
    /*! @brief Pool of this sidecar's endpoint, from the document. */
    Pool pool;
    /*! @brief Limits of the active document; the defaults until one has been received. */
    Policy policy;
    /*! @brief Time of the current event. */
    TimePoint now;
    bool draining{};
    /*! @brief Earliest time at which the current drain may have been signalled. */
    TimePoint drainingSince;
    /*! @brief Earliest time at which the last pause of the process may have begun. */
    TimePoint pausedSince;
    PeerFreshness peers;
    /*! @brief Effects of the current event. */
    EffectBuffer effects;
};

} // namespace bergamottide
