#pragma once

#include "bergamottide/config/document.h"
#include "bergamottide/membership/instanceview.h"

#include <cstdint>
#include <vector>

namespace bergamottide {

/*! @brief A model that an engine should have loaded. */
struct AssignedModel
{
    ModelName name;
    /*! @brief Version to serve: the last one in the document; empty if there is none. */
    std::string version;
    std::vector<AdapterName> adapters;
    /*! @brief Rank of the engine among those that should load the model, from zero. */
    std::uint32_t rank{};
    std::uint32_t megabytes{};

    [[nodiscard]] bool operator==(const AssignedModel &) const = default;
};

/**
 * @brief Returns the models that an engine should have loaded.
 *
 * Uses rendezvous hashing of models and engines: all sidecars compute the same assignment
 * without coordination, and a change of one engine moves only the models of that engine. A
 * model is assigned to the `replicas` engines with the highest scores, among the engines
 * of the pools in which a binding uses the model. Leaving instances are excluded.
 *
 * @param document Current configuration document.
 * @param view Current instance view.
 * @param engine Name of the engine's sidecar.
 * @return Assigned models, ordered by name.
 */
[[nodiscard]] std::vector<AssignedModel> assignedModels(const Document &document, const InstanceView &view,
                                                        const InstanceName &engine);

} // namespace bergamottide
