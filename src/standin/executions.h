#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace bergamottide::standin {

/*! @brief Counts what an endpoint has truly done, so that a test can tell a lost or doubled run. */
class Executions
{
public:
    struct Count
    {
        std::uint64_t started{};
        std::uint64_t completed{};
    };

    /**
     * @brief Counts a run that begins.
     * @param request Text of the request's identity.
     * @param stage Name of the stage.
     */
    void start(const std::string &request, const std::string &stage)
    {
        ++m_counts[{request, stage}].started;
    }

    /**
     * @brief Counts a run that has ended well.
     * @param request Text of the request's identity.
     * @param stage Name of the stage.
     */
    void complete(const std::string &request, const std::string &stage)
    {
        ++m_counts[{request, stage}].completed;
    }

    /*! @brief Returns the counts as `{"executions": [{"request", "stage", "started", "completed"}]}`. */
    [[nodiscard]] std::string json() const;

private:
    std::map<std::pair<std::string, std::string>, Count> m_counts;
};

} // namespace bergamottide::standin
