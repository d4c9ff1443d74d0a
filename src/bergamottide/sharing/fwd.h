#pragma once

/**
 * @file
 * @brief Forward declarations of the module `sharing`, which shares scarce stage pools among workspaces.
 */
namespace bergamottide::sharing {

struct ShareChange;

class FairShares;

} // namespace bergamottide::sharing
