#pragma once

#include "include/config/configuration.h"
#include "include/config/finding.h"
#include "include/core/result.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailhatch {

constexpr std::string_view base_document_name = "base";
constexpr std::string_view overlay_document_prefix = "overlay/";
constexpr std::size_t max_document_size = std::size_t{4} << 20; ///< Bytes.
constexpr std::size_t max_call_depth = 23;                      ///< Services in one call chain.

/// Texts of the operators' documents, keyed by name: "base" or "overlay/<data centre>".
using document_set = std::map<std::string, std::string>;

/// Validated content of the base file.
struct base_document {
    configuration content; ///< Its version is 0.
};

/// Overrides for one service. Line and column locate findings of check_overlay().
struct service_overlay {
    std::size_t line = 0;
    std::size_t column = 0;
    std::optional<std::uint32_t> slots;
    std::optional<std::uint32_t> connections;
};

/// Overrides for one route. Line and column locate findings of check_overlay().
struct route_overlay {
    std::size_t line = 0;
    std::size_t column = 0;
    std::optional<std::chrono::milliseconds> timeout;
};

/// Overrides of the base file for one data centre. Importance, rates, keys and run-once settings cannot be
/// overridden, because requests and rates span data centres.
struct overlay_document {
    std::string file;
    std::string data_centre;
    std::size_t line = 0; ///< Position of the data centre's name.
    std::size_t column = 0;
    std::map<std::string, service_overlay> services;
    std::map<std::string, route_overlay> routes;
};

/// Parse and validate one file. Report all errors of the file in one pass, except that invalid YAML ends the
/// parsing at its first error.
parsed<base_document> parse_base(const std::string& file, std::string_view text);
parsed<overlay_document> parse_overlay(const std::string& file, std::string_view text);

/// Returns a finding for each reference of the overlay that the base file does not define.
std::vector<finding> check_overlay(const base_document& base, const overlay_document& overlay);

/// Applies an overlay (may be null) to the base file. Requires that check_overlay() returned no findings.
configuration merge(const base_document& base, const overlay_document* overlay, std::uint64_t version);

/// A document and the file name that its findings carry.
struct named_document {
    std::string name;
    std::string file;
    std::string text;
};

/// Validates the base file and the overlays, each by itself and together. Returns all findings.
std::vector<finding> check_documents(const std::vector<named_document>& documents);

/// Returns the SHA-256 hash of a text as 64 lower-case hexadecimal digits.
std::string content_hash(std::string_view text);

/// Returns a line diff, with "-" for removed and "+" for added lines. Unchanged lines are left out.
std::string describe_difference(std::string_view before, std::string_view after);

/// Builds the configuration of one data centre from accepted documents.
/// Fails with errc::invalid_argument and the findings as message.
result<std::shared_ptr<const configuration>>
load_configuration(const document_set& documents, const std::string& data_centre, std::uint64_t version);

} // namespace wagtailhatch
