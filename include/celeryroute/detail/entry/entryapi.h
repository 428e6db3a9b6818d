#pragma once

#include <celeryroute/detail/entry/dispatcher.h>
#include <celeryroute/detail/http/httpserver.h>

#include <functional>
#include <memory>

namespace celeryroute {

/// What the HTTP front of an entry asks the rest of the process.
struct EntryApiHooks {
    StateSource state;
    std::function<bool()> keyedAllowed; ///< False while a withdrawal may have been missed.
    std::function<bool()> ready; ///< Whether the platform may send callers here.
    std::function<std::string()> metrics; ///< Text exposition of all metrics.
    std::function<void(const Error &)> refused; ///< Counts a refusal at the front.
};

/// @brief The callers' HTTP API: chat completions, models, plain services, health and metrics.
class EntryApi
{
public:
    EntryApi(EntryApiHooks hooks, Dispatcher &dispatcher);

    /// @brief Answers or hands on one request; any thread.
    void handle(HttpRequest request, const std::shared_ptr<HttpResponder> &responder) const;

private:
    void handleModels(const HttpRequest &request, HttpResponder &responder) const;
    void handleReady(HttpResponder &responder) const;
    void refuse(HttpResponder &responder, const Error &error) const;

    EntryApiHooks m_hooks;
    Dispatcher &m_dispatcher;
};

} // namespace celeryroute
