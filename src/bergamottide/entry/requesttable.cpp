#include "bergamottide/entry/requesttable.h"

#include <algorithm>

namespace bergamottide {

std::vector<RequestId> RequestTable::ids() const
{
    std::vector<RequestId> ids;
    ids.reserve(m_requests.size());
    for (const auto &[id, request] : m_requests) {
        ids.push_back(id);
    }
    std::sort(ids.begin(), ids.end());
    return ids;
}

} // namespace bergamottide
