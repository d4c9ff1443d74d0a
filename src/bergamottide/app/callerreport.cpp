#include "bergamottide/app/callerreport.h"

#include <absl/strings/str_cat.h>

#include <string>
#include <utility>

#include <malloc.h>

namespace bergamottide {

CallerReport::CallerReport(const overload::MemoryAccount &memory, CallerReportHooks hooks)
    : m_memory{memory}
    , m_hooks{std::move(hooks)}
{
}

void CallerReport::recordRefusal(CallerRefusal refusal)
{
    ++m_refusals[refusal];
    m_hooks.observe(Observe{Metric::CallerRefusalsTotal, {std::string{enumName(refusal)}}});
}

void CallerReport::report()
{
    using overload::HeldFor;
    for (const HeldFor purpose : {HeldFor::Connection, HeldFor::Request, HeldFor::Response}) {
        m_hooks.observe(
            Observe{Metric::HeldBytes, {std::string{enumName(purpose)}}, static_cast<double>(m_memory.held(purpose))});
    }
    reportScarcity();
    if (m_refusals.empty()) {
        return;
    }
    LogLine line{Severity::Warning, Part::Net, "Callers were rejected or cut off.", {}};
    for (const auto &[refusal, count] : std::exchange(m_refusals, {})) {
        line.fields.emplace_back(std::string{enumName(refusal)}, absl::StrCat(count));
    }
    m_hooks.log(line);
}

void CallerReport::reportScarcity()
{
    if (m_memory.isScarce() == m_isScarce) {
        return;
    }
    m_isScarce = !m_isScarce;
    m_hooks.log(
        {m_isScarce ? Severity::Warning : Severity::Info,
         Part::Net,
         m_isScarce ? "Memory for callers is scarce; slow ones are closed." : "Memory for callers is no longer scarce.",
         {{"held", absl::StrCat(m_memory.held())}, {"limit", absl::StrCat(m_memory.limit())}}});
    if (!m_isScarce) {
        // The allocator keeps what a crowd has left, which counts as memory of the process.
        malloc_trim(0);
    }
}

} // namespace bergamottide
