#include <celeryroute/detail/base/text.h>

namespace celeryroute {

std::string_view trimmed(std::string_view text, std::string_view blanks)
{
    const std::size_t first = text.find_first_not_of(blanks);
    return first == std::string_view::npos ? std::string_view()
                                           : text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

} // namespace celeryroute
