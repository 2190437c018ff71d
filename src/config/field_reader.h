#pragma once

#include "src/config/yaml_tree.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailhatch {

/// Reads typed values from a YAML tree and reports every error with its position. Functions that return an
/// optional return nothing after they have reported an error.
class field_reader {
public:
    field_reader(const std::string& file, std::vector<finding>& findings)
        : file_{file}
        , findings_{findings}
    {
    }

    void report(const yaml_tree& at, std::string problem, std::string remedy);

    /// Reports unknown, repeated and missing required fields. Returns false, after reporting it, if the node
    /// is not a mapping.
    bool check_fields(const yaml_tree& node, std::string_view label,
                      std::initializer_list<std::string_view> required,
                      std::initializer_list<std::string_view> optional);

    /// Calls visit for each entry with a valid name; reports repeated and invalid names. Null counts as
    /// empty.
    void for_each_named(const yaml_tree& node, std::string_view label,
                        const std::function<void(const std::string&, const yaml_entry&)>& visit);

    /// Calls visit for each item of a sequence. Null counts as empty.
    void for_each_item(const yaml_tree& node, std::string_view label,
                       const std::function<void(const yaml_tree&)>& visit);

    std::optional<std::string> text(const yaml_tree& node, std::string_view label);
    std::optional<std::string> name(const yaml_tree& node, std::string_view label);
    std::optional<bool> boolean(const yaml_tree& node, std::string_view label);
    std::optional<std::uint64_t> integer(const yaml_tree& node, std::string_view label,
                                         std::uint64_t min_allowed, std::uint64_t max_allowed);
    std::optional<double> decimal(const yaml_tree& node, std::string_view label, double min_allowed,
                                  double max_allowed);

    /// Reads a duration: an integer with the unit ms, s, m or h.
    std::optional<std::chrono::milliseconds> time(const yaml_tree& node, std::string_view label,
                                                  std::chrono::milliseconds min_allowed,
                                                  std::chrono::milliseconds max_allowed);

    /// Reads a number of bytes: an integer with the optional unit KiB or MiB.
    std::optional<std::uint64_t> size(const yaml_tree& node, std::string_view label,
                                      std::uint64_t min_allowed, std::uint64_t max_allowed);

private:
    const std::string* scalar(const yaml_tree& node, std::string_view label, std::string_view expected);

    const std::string& file_;
    std::vector<finding>& findings_;
};

/// Whether a name has 1 to 63 lower-case letters, digits and inner hyphens.
bool valid_name(std::string_view name);

} // namespace wagtailhatch
