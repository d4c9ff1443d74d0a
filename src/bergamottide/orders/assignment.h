#pragma once

#include "bergamottide/config/document.h"
#include "bergamottide/membership/instanceview.h"

#include <cstdint>
#include <vector>

namespace bergamottide {

/*! @brief A model that an engine should hold. */
struct DueModel
{
    ModelName name;
    /*! @brief Version to serve: the newest of the document; empty if it names none. */
    std::string version;
    std::vector<AdapterName> adapters;
    /*! @brief Place of the engine among those that should hold the model, from zero. */
    std::uint32_t rank{};
    std::uint32_t megabytes{};

    [[nodiscard]] bool operator==(const DueModel &) const = default;
};

/**
 * @brief Tells which models an engine should hold.
 *
 * Rendezvous hash of model and engine over the instance list: every side finds the same
 * assignment by itself, and a change of one engine moves only the models of that one. A
 * model is due at its `replicas` highest engines, among the engines of the pools whose
 * stages a binding runs with that model. Leaving instances hold nothing new.
 *
 * @param document Document in force.
 * @param view Instance list as last heard.
 * @param engine Name of the side beside the engine.
 * @return Models due, in the order of their names.
 */
[[nodiscard]] std::vector<DueModel> modelsDue(const Document &document, const InstanceView &view,
                                              const InstanceName &engine);

} // namespace bergamottide
