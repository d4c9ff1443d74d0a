#pragma once

#include "bergamottide/sidecar/sidecarevents.h"

#include <string>
#include <utility>
#include <vector>

namespace bergamottide {

/*! @brief Collects the effects of one event, in order. */
class EffectBuffer
{
public:
    /**
     * @brief Adds an effect.
     * @param effect Effect; executed after those added earlier.
     */
    void add(SidecarEffect effect)
    {
        m_effects.push_back(std::move(effect));
    }

    /**
     * @brief Adds a message to be sent.
     * @param peer Recipient.
     * @param message Message.
     */
    void send(const InstanceName &peer, Message message)
    {
        add(SendMessage{peer, std::move(message)});
    }

    /**
     * @brief Adds a log line.
     * @param severity Severity.
     * @param part Component that logs.
     * @param text One short sentence.
     * @param fields Names and values of its fields.
     */
    void log(Severity severity, Part part, std::string text,
             std::vector<std::pair<std::string, std::string>> fields = {})
    {
        add(LogLine{severity, part, std::move(text), std::move(fields)});
    }

    /**
     * @brief Adds an observation of a metric.
     * @param metric Metric.
     * @param labels Values of its labels.
     * @param value Increment of a counter, value of a gauge, or sample of a histogram.
     */
    void observe(Metric metric, std::vector<std::string> labels, double value = 1.0)
    {
        add(Observe{metric, std::move(labels), value});
    }

    /*! @brief Returns the collected effects and clears the buffer. */
    [[nodiscard]] SidecarEffects take()
    {
        return std::exchange(m_effects, {});
    }

private:
    SidecarEffects m_effects;
};

} // namespace bergamottide
