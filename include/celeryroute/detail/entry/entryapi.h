#pragma once

#include <celeryroute/detail/entry/dispatcher.h>
#include <celeryroute/detail/http/httpserver.h>

#include <functional>
#include <memory>

namespace celeryroute {

/// Callbacks of the HTTP front end of an entry into its process.
struct EntryApiHooks {
    StateSource state;
    std::function<bool()> keyedAllowed; ///< False while a key revocation may have been missed.
    std::function<bool()> ready; ///< Whether the platform may route callers to this entry.
    std::function<std::string()> metrics; ///< All metrics in the text exposition format.
    std::function<void(const Error &)> refused; ///< Counts a refusal by the HTTP front end.
};

/// @brief The callers' HTTP API: chat completions, models, plain services, health and metrics.
class EntryApi
{
public:
    EntryApi(EntryApiHooks hooks, Dispatcher &dispatcher);

    /// @brief Answers a request or passes it to the dispatcher; any thread.
    void handle(HttpRequest request, const std::shared_ptr<HttpResponder> &responder) const;

private:
    void handleModels(const HttpRequest &request, HttpResponder &responder) const;
    void handleReady(HttpResponder &responder) const;
    void refuse(HttpResponder &responder, const Error &error) const;

    EntryApiHooks m_hooks;
    Dispatcher &m_dispatcher;
};

} // namespace celeryroute
