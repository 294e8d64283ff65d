#include "ctl/textdiff.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace banyanwall::ctl {

namespace {

constexpr std::size_t ContextLines = 2;
// Limits the table of common subsequence lengths to 16 MB (4 bytes a cell). A larger change is
// shown as all former lines removed and all next lines added.
constexpr std::size_t MaxTableCells = 4'000'000;

struct Line
{
    char marker;
    std::string_view text;
};

std::vector<std::string_view> splitLines(std::string_view text)
{
    std::vector<std::string_view> lines;
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        lines.push_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return lines;
}

/// Length of the longest common subsequence for each pair of a suffix of former and a suffix of
/// next.
class CommonSuffixLengths
{
public:
    CommonSuffixLengths(const std::vector<std::string_view> &former,
                        const std::vector<std::string_view> &next)
        : m_width(next.size() + 1)
        , m_lengths((former.size() + 1) * m_width)
    {
        for (std::size_t i = former.size(); i-- > 0;) {
            for (std::size_t j = next.size(); j-- > 0;) {
                m_lengths[i * m_width + j] = former[i] == next[j]
                        ? at(i + 1, j + 1) + 1
                        : std::max(at(i + 1, j), at(i, j + 1));
            }
        }
    }

    [[nodiscard]] std::uint32_t at(std::size_t i, std::size_t j) const
    {
        return m_lengths[i * m_width + j];
    }

private:
    std::size_t m_width;
    std::vector<std::uint32_t> m_lengths;
};

using LineList = std::vector<std::string_view>;

/// Appends the diff of two sections that have no common first or last line.
void diffSections(const LineList &former, const LineList &next, std::vector<Line> &lines)
{
    if ((former.size() + 1) * (next.size() + 1) > MaxTableCells) {
        std::ranges::for_each(former, [&](auto line) { lines.push_back({ '-', line }); });
        std::ranges::for_each(next, [&](auto line) { lines.push_back({ '+', line }); });
        return;
    }
    const CommonSuffixLengths commonLengths(former, next);
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < former.size() || j < next.size()) {
        if (i < former.size() && j < next.size() && former[i] == next[j]) {
            lines.push_back({ ' ', former[i] });
            ++i;
            ++j;
        } else if (j == next.size()
                   || (i < former.size()
                       && commonLengths.at(i + 1, j) >= commonLengths.at(i, j + 1))) {
            lines.push_back({ '-', former[i++] });
        } else {
            lines.push_back({ '+', next[j++] });
        }
    }
}

std::vector<Line> diffLineLists(const LineList &former, const LineList &next)
{
    // Most edits change few lines. Lines that both texts have at their start and end are skipped,
    // which keeps the table small.
    const auto head = std::ranges::mismatch(former, next);
    const auto tail = std::mismatch(former.rbegin(), std::make_reverse_iterator(head.in1),
                                    next.rbegin(), std::make_reverse_iterator(head.in2));
    std::vector<Line> lines;
    std::for_each(former.begin(), head.in1, [&](auto line) { lines.push_back({ ' ', line }); });
    diffSections({ head.in1, tail.first.base() }, { head.in2, tail.second.base() }, lines);
    std::for_each(tail.first.base(), former.end(), [&](auto line) {
        lines.push_back({ ' ', line });
    });
    return lines;
}

} // namespace

std::string diffLines(std::string_view former, std::string_view next)
{
    const auto lines = diffLineLists(splitLines(former), splitLines(next));
    const auto isChange = [](const Line &line) { return line.marker != ' '; };
    std::string text;
    for (std::size_t i = 0; i < lines.size(); ++i) {
        const auto first =
                lines.begin() + static_cast<std::ptrdiff_t>(i - std::min(i, ContextLines));
        const auto last = lines.begin()
                + static_cast<std::ptrdiff_t>(std::min(i + ContextLines + 1, lines.size()));
        if (std::any_of(first, last, isChange)) {
            const auto &[marker, content] = lines[i];
            // An empty line gets no space after its marker.
            if (!content.empty()) {
                text.append({ marker, ' ' }).append(content);
            } else if (marker != ' ') {
                text += marker;
            }
            text += '\n';
        }
    }
    return text;
}

} // namespace banyanwall::ctl
