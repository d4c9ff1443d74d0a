#pragma once

#include "bergamottide/config/document.h"
#include "bergamottide/config/issue.h"
#include "bergamottide/config/yamltree.h"

namespace bergamottide {

/**
 * @brief Checks what no field shows alone: references, names in use twice, and fields that contradict each other.
 *
 * A field that was absent or wrong is empty here and passed over, so that one mistake is
 * reported once.
 *
 * @param document Document whose fields have been read.
 * @param lines Lines by path; may be empty.
 * @param issues Receives what is wrong.
 */
void checkReferences(const Document &document, const LineIndex &lines, IssueList &issues);

} // namespace bergamottide
