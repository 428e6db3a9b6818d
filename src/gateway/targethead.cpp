#include <celeryroute/detail/gateway/targethead.h>

#include <celeryroute/detail/http1/messagewriter.h>

#include <algorithm>

namespace celeryroute {

namespace {

constexpr std::uint32_t LowestPriority = 9;

bool namedByConnection(const MessageHead &head, std::string_view name)
{
    return std::any_of(head.fields.begin(), head.fields.end(), [name](const HeaderField &field) {
        return equalsIgnoringCase(field.name, "Connection") && listContains(field.value, name);
    });
}

bool setByEntry(const std::string &name, const HeaderNames &names)
{
    for (const std::string *own : {&names.deadline,
                                   &names.customer,
                                   &names.instance,
                                   &names.priority,
                                   &names.expectWeights,
                                   &names.authorization}) {
        if (equalsIgnoringCase(name, *own)) {
            return true;
        }
    }
    return listContains(names.reserved, name) || equalsIgnoringCase(name, "Content-Length")
        || equalsIgnoringCase(name, "Expect");
}

bool carriesLength(const MessageHead &caller, std::size_t bodyLength)
{
    return bodyLength > 0 || caller.framing != BodyFraming::None || caller.field("Content-Length") != nullptr;
}

} // namespace

std::string targetRequestHead(const MessageHead &caller, const TargetFields &added, const HeaderNames &names)
{
    std::string head;
    appendRequestLine(head, caller.method, caller.target);
    for (const HeaderField &field : caller.fields) {
        const bool replaced = added.lastEventId && equalsIgnoringCase(field.name, names.lastEventId);
        if (!replaced && !isHopByHop(field.name) && !setByEntry(field.name, names)
            && !namedByConnection(caller, field.name)) {
            appendField(head, field.name, field.value);
        }
    }
    appendField(head, names.deadline, std::to_string(std::max<std::int64_t>(0, toMilliseconds(added.remaining))));
    appendField(head, names.instance, added.instance);
    if (!added.customer.empty()) {
        appendField(head, names.customer, added.customer);
    }
    appendField(head, names.priority, std::to_string(std::min(added.priority, LowestPriority)));
    if (added.weightsVersion) {
        appendField(head, names.expectWeights, *added.weightsVersion);
    }
    if (added.lastEventId) {
        appendField(head, names.lastEventId, *added.lastEventId);
    }
    if (carriesLength(caller, added.bodyLength)) {
        appendField(head, "Content-Length", std::to_string(added.bodyLength));
    }
    head.append("\r\n");
    return head;
}

AnswerHead callerAnswerHead(MessageHead target, const HeaderNames &names)
{
    AnswerHead answer{target.status, std::move(target.reason), {}};
    for (HeaderField &field : target.fields) {
        const bool internal = equalsIgnoringCase(field.name, names.load)
            || equalsIgnoringCase(field.name, names.answeringInstance)
            || equalsIgnoringCase(field.name, "Content-Length");
        if (!internal && !isHopByHop(field.name)) {
            answer.fields.push_back(std::move(field));
        }
    }
    return answer;
}

} // namespace celeryroute
