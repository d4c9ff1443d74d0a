#pragma once

#include "bergamottide/telemetry/metric.h"

#include <cstdint>
#include <memory>
#include <string>

namespace bergamottide {

/**
 * @brief Values of the metrics of one process, in the text format of Prometheus.
 *
 * It opens no port: the text is served on the admin port with everything else.
 */
class MetricsRegistry
{
public:
    /*! @brief Creates every family of the table, without values. */
    MetricsRegistry();
    MetricsRegistry(const MetricsRegistry &) = delete;
    MetricsRegistry &operator=(const MetricsRegistry &) = delete;
    ~MetricsRegistry();

    /**
     * @brief Takes over one observation: a counter grows by it, a gauge is set to it, a histogram counts it.
     *
     * An observation with another number of labels than the table says, or a negative step of a
     * counter, is counted in `bergamottide_observations_refused_total` and otherwise dropped: a
     * mistake in a label shall not stop a process that serves requests.
     *
     * @param observation Effect of a reducer.
     */
    void observe(const Observe &observation);

    /*! @brief Writes all values in the text format of Prometheus, version 0.0.4. */
    [[nodiscard]] std::string text() const;

    /*! @brief Returns the number of observations refused. */
    [[nodiscard]] std::uint64_t refused() const noexcept;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace bergamottide
