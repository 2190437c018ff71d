#pragma once

#include "include/config/finding.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailhatch {

enum class yaml_kind : std::uint8_t { null, scalar, sequence, mapping };

struct yaml_entry;

/// One node of a YAML text with its place. Duplicate keys are kept for the reader to report.
struct yaml_tree {
    yaml_kind kind = yaml_kind::null;
    std::string text; ///< Of a scalar.
    bool quoted = false;
    bool flow = false; ///< Sequence or mapping in brackets.
    std::size_t line = 0;
    std::size_t column = 0;
    std::vector<yaml_tree> items;    ///< Of a sequence.
    std::vector<yaml_entry> entries; ///< Of a mapping.

    const yaml_tree* find(std::string_view key) const;
};

struct yaml_entry {
    yaml_tree key;
    yaml_tree value;
};

constexpr std::size_t max_yaml_depth = 12;

/// Reads one YAML document of plain data: no anchors, aliases, tags, control characters or second document.
/// Adds what is wrong to findings and returns nothing then.
std::optional<yaml_tree> read_yaml(const std::string& file, std::string_view text, std::size_t max_size,
                                   std::vector<finding>& findings);

} // namespace wagtailhatch
