#include "include/config/finding.h"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>

namespace wagtailhatch {

std::string to_string(const finding& f)
{
    std::string text = f.file;
    if (f.line != 0) {
        text += fmt::format(":{}:{}", f.line, f.column);
    }
    text += ": " + f.problem;
    return f.remedy.empty() ? text : text + "; " + f.remedy;
}

std::string to_string(std::vector<finding> findings)
{
    std::stable_sort(findings.begin(), findings.end(), [](const finding& a, const finding& b) {
        return std::tie(a.file, a.line, a.column) < std::tie(b.file, b.line, b.column);
    });
    std::string text;
    for (const auto& f : findings) {
        text += to_string(f) + '\n';
    }
    return text;
}

} // namespace wagtailhatch
