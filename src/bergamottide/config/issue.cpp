#include "bergamottide/config/issue.h"

#include <algorithm>
#include <utility>

namespace bergamottide {

void IssueList::add(int line, std::string path, IssueKind kind, std::string reason)
{
    if (m_issues.size() >= limit) {
        ++m_left;
        return;
    }
    m_issues.push_back({line, std::move(path), kind, std::move(reason)});
}

std::vector<ConfigIssue> IssueList::take()
{
    std::stable_sort(m_issues.begin(), m_issues.end(), [](const auto &a, const auto &b) { return a.line < b.line; });
    if (m_left > 0) {
        m_issues.push_back({0, {}, IssueKind::TooLarge, std::to_string(m_left) + " further issues are not shown."});
    }
    m_left = 0;
    return std::exchange(m_issues, {});
}

std::string issueText(const ConfigIssue &issue)
{
    std::string text;
    if (issue.line > 0) {
        text += "line " + std::to_string(issue.line) + ": ";
    }
    if (!issue.path.empty()) {
        text += issue.path + ": ";
    }
    text += enumName(issue.kind);
    return text + ": " + issue.reason;
}

} // namespace bergamottide
