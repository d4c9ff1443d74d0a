#include "bergamottide/config/reference.h"

#include "bergamottide/config/documentfields.h"
#include "bergamottide/config/settings.h"

#include <vector>

namespace bergamottide {

namespace {

std::string fieldsTable(const std::vector<FieldInfo> &fields)
{
    std::string out = "| Field | Type | Allowed | Default | Meaning |\n| --- | --- | --- | --- | --- |\n";
    for (const FieldInfo &field : fields) {
        const bool required = field.presence == Presence::Required;
        const std::string standard = field.defaultText.empty() || field.defaultText == "\"\""
            ? std::string{"none"}
            : '`' + field.defaultText + '`';
        out += "| `" + field.name + "` | " + field.type + " | " + field.range + " | "
            + (required ? std::string{"required"} : standard) + " | " + field.doc + " |\n";
    }
    return out;
}

} // namespace

std::string documentReference()
{
    std::string out;
    for (const SectionInfo &section : sectionInfos()) {
        out += (out.empty() ? "### `" : "\n### `") + section.name + "`\n\n" + section.doc
            + " Shape: " + std::string{enumName(section.shape)}
            + (section.presence == Presence::Required ? "; required.\n" : "; may be left out.\n");
        if (!section.fields.empty()) {
            out += '\n' + fieldsTable(section.fields);
        }
    }
    return out;
}

std::string settingsReference()
{
    return fieldsTable(fieldInfos(settingsFields()));
}

} // namespace bergamottide
