#include "standin/executions.h"

#include <nlohmann/json.hpp>

namespace bergamottide::standin {

std::string Executions::json() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[key, count] : m_counts) {
        list.push_back({{"request", key.first},
                        {"stage", key.second},
                        {"started", count.started},
                        {"completed", count.completed}});
    }
    return nlohmann::json{{"executions", std::move(list)}}.dump();
}

} // namespace bergamottide::standin
