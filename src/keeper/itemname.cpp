#include <celeryroute/detail/keeper/itemname.h>

namespace celeryroute {

ItemName parseItem(const std::string &text)
{
    const auto slash = text.find('/');
    if (slash == std::string::npos) {
        return {text, {}};
    }
    return {text.substr(0, slash), text.substr(slash + 1)};
}

std::string toString(const ItemName &item)
{
    return item.adapter.empty() ? item.model : item.model + "/" + item.adapter;
}

ItemName itemOf(const TargetOrder &order)
{
    return {order.model, order.adapter};
}

} // namespace celeryroute
