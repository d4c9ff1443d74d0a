#include "bergamottide/endpoint/endpointadapter.h"

#include "bergamottide/endpoint/endpointwire.h"
#include "bergamottide/endpoint/engineadapter.h"
#include "bergamottide/endpoint/unaryadapter.h"

#include <utility>

namespace bergamottide {

std::unique_ptr<EndpointAdapter> makeEndpointAdapter(Loop &loop, const EndpointSettings &settings, EndpointHooks hooks)
{
    switch (settings.kind) {
    case PoolKind::Engine:
        return std::make_unique<EngineAdapter>(loop, settings, std::move(hooks));
    case PoolKind::Service:
        return std::make_unique<UnaryAdapter>(loop, settings, serviceRequest, std::move(hooks));
    case PoolKind::Encoder:
    case PoolKind::Retriever:
    case PoolKind::Reranker:
        break;
    }
    return std::make_unique<UnaryAdapter>(loop, settings, stageRequest, std::move(hooks));
}

} // namespace bergamottide
