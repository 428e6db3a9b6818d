#pragma once

#include <celeryroute/detail/http/httpmessage.h>
#include <celeryroute/detail/http1/callerconnection.h>

#include <string>
#include <vector>

namespace celeryroute {

/// @brief Fields by lower-case name; those that came more than once are joined with commas.
HttpFields joinFields(const std::vector<HeaderField> &fields);

/// @brief The fields that are written to a connection: not those that the connection itself states, nor
/// any that would break a line.
std::vector<HeaderField> sendableFields(const HttpFields &fields);

/// @brief The head of an answer; `connection: close` closes the connection after it.
AnswerHead answerHead(const HttpResponse &response);

} // namespace celeryroute
