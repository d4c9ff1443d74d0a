#pragma once

#include "bergamottide/config/document.h"
#include "bergamottide/config/fieldtable.h"

#include <string>
#include <vector>

namespace bergamottide {

/*! @brief Fields of one entry of `pools`. */
[[nodiscard]] const FieldTable<Pool> &poolFields();
/*! @brief Fields of one entry of `models`. */
[[nodiscard]] const FieldTable<Model> &modelFields();
/*! @brief Fields of one item of `stages`. */
[[nodiscard]] const FieldTable<Stage> &stageFields();
/*! @brief Fields of one entry of `pipelines`. */
[[nodiscard]] const FieldTable<Pipeline> &pipelineFields();
/*! @brief Fields of one entry of `kinds`. */
[[nodiscard]] const FieldTable<Kind> &kindFields();
/*! @brief Fields of one entry of `workspaces`. */
[[nodiscard]] const FieldTable<Workspace> &workspaceFields();
/*! @brief Fields of one item of `bindings`. */
[[nodiscard]] const FieldTable<Binding> &bindingFields();
/*! @brief Fields of `policy`. */
[[nodiscard]] const FieldTable<Policy> &policyFields();

/*! @brief Shape of a section of the document. */
enum class SectionShape : std::uint8_t
{
    /*! @brief One whole number. */
    Number,
    /*! @brief Map from name to record. */
    Named,
    /*! @brief List of records. */
    List,
    /*! @brief One record. */
    Record
};

template <>
struct EnumNames<SectionShape>
{
    static constexpr std::array<std::string_view, 4> names{"whole number", "map by name", "list", "map"};
};

/*! @brief What the reference page says about a section. */
struct SectionInfo
{
    std::string name;
    SectionShape shape{};
    Presence presence{};
    std::string doc;
    std::vector<FieldInfo> fields;
};

/*! @brief Describes every section of the document, and `stages` within `pipelines`, in the order of the page. */
[[nodiscard]] std::vector<SectionInfo> sectionInfos();

} // namespace bergamottide
