#include <celeryroute/detail/residency/itemname.h>

namespace celeryroute {

bool isAdapter(const std::string &item)
{
    return item.find('/') != std::string::npos;
}

std::string baseModel(const std::string &item)
{
    return item.substr(0, item.find('/'));
}

std::string adapterName(const std::string &item)
{
    const auto slash = item.find('/');
    return slash == std::string::npos ? std::string() : item.substr(slash + 1);
}

std::string itemName(const std::string &model, const std::string &adapter)
{
    return adapter.empty() ? model : model + "/" + adapter;
}

} // namespace celeryroute
