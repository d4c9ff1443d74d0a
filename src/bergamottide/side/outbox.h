#pragma once

#include "bergamottide/side/sideevents.h"

#include <string>
#include <utility>
#include <vector>

namespace bergamottide {

/*! @brief Collects the effects of one event, in order. */
class Outbox
{
public:
    /**
     * @brief Adds an effect.
     * @param effect Effect carried out after those added before.
     */
    void add(SideEffect effect)
    {
        m_effects.push_back(std::move(effect));
    }

    /**
     * @brief Sends a message.
     * @param peer Process it goes to.
     * @param message Message.
     */
    void send(const InstanceName &peer, Message message)
    {
        add(SendMessage{peer, std::move(message)});
    }

    /**
     * @brief Writes a log line.
     * @param severity How serious it is.
     * @param part Part of the system it is about.
     * @param text One short sentence.
     * @param fields Named values that belong to it.
     */
    void log(Severity severity, Part part, std::string text,
             std::vector<std::pair<std::string, std::string>> fields = {})
    {
        add(LogLine{severity, part, std::move(text), std::move(fields)});
    }

    /**
     * @brief Changes a metric.
     * @param metric Metric.
     * @param labels Values of its labels.
     * @param value Step of a counter, value of a gauge, sample of a histogram.
     */
    void observe(Metric metric, std::vector<std::string> labels, double value = 1.0)
    {
        add(Observe{metric, std::move(labels), value});
    }

    /*! @brief Returns the effects and starts anew. */
    [[nodiscard]] SideEffects take()
    {
        return std::exchange(m_effects, {});
    }

private:
    SideEffects m_effects;
};

} // namespace bergamottide
