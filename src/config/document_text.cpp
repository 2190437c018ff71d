#include "include/config/config_documents.h"

#include <fmt/format.h>

#include <algorithm>

namespace wagtailhatch {
namespace {

constexpr std::size_t max_diff_cells = 4'000'000; ///< LCS table cells; larger diffs are shown as blocks.
constexpr std::size_t max_diff_lines = 200;       ///< Lines of the diff that are printed.

std::vector<std::string_view> split_lines(std::string_view text)
{
    std::vector<std::string_view> lines;
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        lines.push_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return lines;
}

class line_difference {
public:
    line_difference(std::vector<std::string_view> a, std::vector<std::string_view> b)
        : a_{std::move(a)}
        , b_{std::move(b)}
    {
        while (first_ < std::min(a_.size(), b_.size()) && a_[first_] == b_[first_]) {
            ++first_;
        }
        while (a_.size() > first_ && b_.size() > first_ && a_.back() == b_.back()) {
            a_.pop_back();
            b_.pop_back();
        }
    }

    std::string describe()
    {
        if ((a_.size() - first_ + 1) * (b_.size() - first_ + 1) <= max_diff_cells) {
            compare();
        }
        else {
            std::for_each(a_.begin() + offset(), a_.end(), [&](auto line) { show('-', line); });
            std::for_each(b_.begin() + offset(), b_.end(), [&](auto line) { show('+', line); });
        }
        if (shown_ > max_diff_lines) {
            out_ += fmt::format("... and {} more lines\n", shown_ - max_diff_lines);
        }
        return out_;
    }

private:
    std::ptrdiff_t offset() const { return static_cast<std::ptrdiff_t>(first_); }

    void show(char sign, std::string_view line)
    {
        if (++shown_ <= max_diff_lines) {
            out_ += fmt::format("{} {}\n", sign, line);
        }
    }

    /// Shows a diff by longest common subsequence (LCS) of the lines between the common start and end.
    void compare()
    {
        const auto rows = a_.size() - first_;
        const auto columns = b_.size() - first_;
        const auto width = columns + 1;
        std::vector<std::uint32_t> common((rows + 1) * width, 0);
        for (auto i = rows; i-- > 0;) {
            for (auto j = columns; j-- > 0;) {
                common[i * width + j] =
                    a_[first_ + i] == b_[first_ + j]
                        ? common[(i + 1) * width + j + 1] + 1
                        : std::max(common[(i + 1) * width + j], common[i * width + j + 1]);
            }
        }
        std::size_t i = 0;
        std::size_t j = 0;
        while (i < rows || j < columns) {
            if (i < rows && j < columns && a_[first_ + i] == b_[first_ + j]) {
                ++i;
                ++j;
            }
            else if (j == columns || (i < rows && common[(i + 1) * width + j] >= common[i * width + j + 1])) {
                show('-', a_[first_ + i++]);
            }
            else {
                show('+', b_[first_ + j++]);
            }
        }
    }

    std::vector<std::string_view> a_;
    std::vector<std::string_view> b_;
    std::size_t first_ = 0; ///< First line that differs.
    std::size_t shown_ = 0;
    std::string out_;
};

} // namespace

std::string describe_difference(std::string_view before, std::string_view after)
{
    return line_difference{split_lines(before), split_lines(after)}.describe();
}

} // namespace wagtailhatch
