#!/usr/bin/env bash
# Makes the committed source of the console's page anew from page.html.
set -euo pipefail
source "$(dirname "$0")/common.sh"
folder=$root/src/bergamottide/console
{
    printf '#include "bergamottide/console/console.h"\n\nnamespace bergamottide {\n\n'
    printf 'std::string_view consolePage()\n{\n    return R"page('
    cat "$folder/page.html"
    printf ')page";\n}\n\n} // namespace bergamottide\n'
} >"$folder/page.cpp"
