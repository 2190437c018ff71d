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

/// Node of a YAML document with its position. Duplicate keys are kept, so that field_reader can report them.
struct yaml_tree {
    yaml_kind kind = yaml_kind::null;
    std::string text; ///< Scalar only.
    bool quoted = false;
    bool flow = false; ///< Sequence or mapping in flow style, [] or {}.
    std::size_t line = 0;
    std::size_t column = 0;
    std::vector<yaml_tree> items;    ///< Sequence only.
    std::vector<yaml_entry> entries; ///< Mapping only.

    const yaml_tree* find(std::string_view key) const;
};

struct yaml_entry {
    yaml_tree key;
    yaml_tree value;
};

constexpr std::size_t max_yaml_depth = 12;

/// Parses a restricted form of YAML: one document without anchors, aliases, tags or control characters, of at
/// most max_size bytes and max_yaml_depth levels. On failure adds the errors to findings and returns nothing.
std::optional<yaml_tree> read_yaml(const std::string& file, std::string_view text, std::size_t max_size,
                                   std::vector<finding>& findings);

} // namespace wagtailhatch
