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
    const auto byValue = [](const RequestId &left, const RequestId &right) {
        return std::pair{left.high, left.low} < std::pair{right.high, right.low};
    };
    std::sort(ids.begin(), ids.end(), byValue);
    return ids;
}

} // namespace bergamottide
