#include <celeryroute/error.h>

namespace celeryroute {

std::string toString(const Error &error)
{
    const std::string number = std::to_string(static_cast<int>(error.code));
    return "error " + number + " " + resultCodeInfo(error.code).name + ": " + error.message;
}

} // namespace celeryroute
