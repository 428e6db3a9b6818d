#include <celeryroute/detail/config/similarname.h>

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace celeryroute {

namespace {
// Levenshtein distance with one row of memory.
std::size_t editDistance(const std::string &left, const std::string &right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), 0U);
    for (std::size_t i = 1; i <= left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= right.size(); ++j) {
            const std::size_t replaced = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
        }
    }
    return row.back();
}
} // namespace

std::string similarName(const std::string &name, const std::vector<std::string> &known)
{
    std::size_t bestDistance = name.size() / 3 + 2;
    std::string best;
    for (const std::string &candidate : known) {
        const std::size_t distance = editDistance(name, candidate);
        if (distance < bestDistance) {
            bestDistance = distance;
            best = candidate;
        }
    }
    return best;
}

} // namespace celeryroute
