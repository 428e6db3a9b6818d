#include "recordedexchange.h"

namespace celeryroute {

void RecordedExchange::exchangeHead(MessageHead head)
{
    status = head.status;
}

void RecordedExchange::exchangeBody(std::string &bytes)
{
    body += bytes;
    bytes.clear();
}

void RecordedExchange::exchangeComplete()
{
    complete = true;
}

void RecordedExchange::exchangeFailed(ExchangeFailure reason)
{
    failure = reason;
}

TargetRequest requestWithId(const std::string &id, const std::string &body)
{
    TargetRequest request;
    request.head = "POST /a HTTP/1.1\r\nHost: x\r\nX-Request-Id: " + id
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    request.body = body;
    request.id = id;
    return request;
}

} // namespace celeryroute
