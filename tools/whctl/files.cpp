#include "tools/whctl/files.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>

namespace wagtailhatch {

result<std::string> read_text(const std::string& file)
{
    std::ifstream in{file, std::ios::binary};
    if (!in) {
        return make_error(errc::not_found, file + ": cannot open file for reading");
    }
    try {
        return std::string{std::istreambuf_iterator<char>{in}, {}};
    }
    catch (const std::ios_base::failure&) {
        // A directory can be opened, but not read.
        return make_error(errc::not_found, file + ": cannot read file");
    }
}

result<bool> replace_file(const std::string& file, const std::string& text)
{
    const auto temporary = file + ".new";
    {
        std::ofstream out{temporary, std::ios::binary | std::ios::trunc};
        out << text;
        out.flush();
        if (!out) {
            return make_error(errc::unavailable, temporary + ": cannot write file");
        }
    }
    std::error_code code;
    std::filesystem::permissions(temporary, std::filesystem::status(file).permissions(), code);
    std::filesystem::rename(temporary, file, code);
    return code ? result<bool>{error{code, file}} : result<bool>{true};
}

result<std::vector<named_document>> read_documents(const command_line& command)
{
    std::vector<named_document> documents;
    if (!command.base.empty()) {
        auto text = read_text(command.base);
        if (!text) {
            return text.failure();
        }
        documents.push_back({std::string{base_document_name}, command.base, std::move(*text)});
    }
    for (const auto& [data_centre, file] : command.overlays) {
        auto text = read_text(file);
        if (!text) {
            return text.failure();
        }
        documents.push_back({std::string{overlay_document_prefix} + data_centre, file, std::move(*text)});
    }
    return documents;
}

} // namespace wagtailhatch
