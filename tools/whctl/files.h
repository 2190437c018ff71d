#pragma once

#include "include/config/config_documents.h"
#include "include/core/result.h"
#include "tools/whctl/commands.h"

#include <string>
#include <vector>

namespace wagtailhatch {

/// Returns the contents of the file, or errc::not_found if it cannot be read.
result<std::string> read_text(const std::string& file);

/// Replaces the file atomically: writes FILE.new next to it, with the same permissions, and renames it.
/// Returns errc::unavailable if FILE.new cannot be written, or the system's error if it cannot be renamed.
result<bool> replace_file(const std::string& file, const std::string& text);

/// Reads the files of --base and --overlay as configuration documents. Returns errc::not_found for the first
/// file that cannot be opened.
result<std::vector<named_document>> read_documents(const command_line& command);

} // namespace wagtailhatch
