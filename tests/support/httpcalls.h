#pragma once

#include <celeryroute/detail/http/httpmessage.h>

#include <nlohmann/json.hpp>
#include <string>

namespace celeryroute {

/// @brief Calls of tests: one connection each, status -1 with the error as body when no answer came.
HttpResponse callHttp(const std::string &method,
                      const std::string &url,
                      const std::string &body = {},
                      const HttpFields &headers = {});

/// @brief The JSON body of a GET; null when it is none.
nlohmann::json getJson(const std::string &url);

} // namespace celeryroute
