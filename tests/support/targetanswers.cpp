#include "targetanswers.h"

#include <celeryroute/detail/http1/messagewriter.h>

namespace celeryroute {

std::string chunk(const std::string &bytes)
{
    std::string text;
    appendChunk(text, bytes);
    return text;
}

std::string event(int id, const std::string &data)
{
    return "id: " + std::to_string(id) + "\ndata: " + data + "\n\n";
}

} // namespace celeryroute
