#pragma once

#include <map>
#include <string>
#include <vector>

namespace celeryroute {

/// @brief Judges by request id which requests ran more often than once, or ran although their callers were promised
/// that they had not.
///
/// A caller sends its work again, under another id, only after such a promise, so no work may run twice.
class RunJudge
{
public:
    /// @brief A caller sends @p request, an attempt at @p work.
    void sent(const std::string &request, const std::string &work)
    {
        m_requests[request].work = work;
    }
    /// @brief A target begins to run @p request.
    void ran(const std::string &request, const std::string &target)
    {
        m_requests[request].runs.push_back(target);
    }
    /// @brief The caller of @p request got @p status, or 0 for none.
    void answered(const std::string &request, int status)
    {
        m_requests[request].status = status;
    }
    /// @brief Whether @p status promises that the request has not run and never will.
    static bool isPromise(int status)
    {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

    std::size_t requests() const
    {
        return m_requests.size();
    }
    std::size_t count(int status) const
    {
        std::size_t found = 0;
        for (const auto &[id, request] : m_requests) {
            found += request.status == status ? 1 : 0;
        }
        return found;
    }
    std::size_t promised() const
    {
        std::size_t found = 0;
        for (const auto &[id, request] : m_requests) {
            found += isPromise(request.status) ? 1 : 0;
        }
        return found;
    }

    /// @brief One line for each broken rule.
    std::vector<std::string> faults() const
    {
        std::vector<std::string> found;
        std::map<std::string, std::vector<std::string>> byWork;
        for (const auto &[id, request] : m_requests) {
            if (request.work.empty()) {
                continue;
            }
            if (request.runs.size() > 1) {
                found.push_back("TWICE " + id + describe(request));
            }
            if (isPromise(request.status) && !request.runs.empty()) {
                found.push_back("REFUSED " + id + describe(request));
            }
            std::vector<std::string> &runs = byWork[request.work];
            runs.insert(runs.end(), request.runs.begin(), request.runs.end());
        }
        for (const auto &[work, runs] : byWork) {
            if (runs.size() > 1) {
                found.push_back("REPEATED " + work + " ran " + std::to_string(runs.size()) + " times");
            }
        }
        return found;
    }

private:
    struct Request {
        std::string work;
        std::vector<std::string> runs;
        int status = -1; ///< Not answered yet.
    };

    static std::string describe(const Request &request)
    {
        std::string text = " of " + request.work + ", status " + std::to_string(request.status) + ", ran at";
        for (const std::string &target : request.runs) {
            text += ' ' + target;
        }
        return text;
    }

    std::map<std::string, Request> m_requests;
};

} // namespace celeryroute
