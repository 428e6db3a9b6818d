#pragma once

#include "scriptedtarget.h"

#include <map>
#include <string>
#include <vector>

namespace celeryroute {

/// Test double of the platform's store: topics with one partition, long polls, and injected faults.
class FakeStore
{
public:
    explicit FakeStore(EventLoop &loop);

    /// @brief Appends a record with a key; an empty value is a tombstone.
    void put(const std::string &topic, const std::string &key, const std::string &value);
    /// @brief Answers calls for topics with @p part in their name with @p status; 0 ends the fault.
    void refuse(const std::string &part, int status);

    /// @brief Comes back from a copy that lacks the last @p lost records of each topic.
    void restore(std::size_t lost);

    std::string address() const
    {
        return m_server.address();
    }
    /// @brief The server that receives all calls, also for scripts that replace the store's answers.
    ScriptedTarget &server()
    {
        return m_server;
    }
    std::size_t calls() const
    {
        return m_server.requests().size();
    }

private:
    /// Contents of all records without their length prefix, by offset.
    using Topic = std::vector<std::string>;
    struct HeldRead {
        std::string topic;
        std::size_t from = 0;
        ScriptedTarget::Request request;
    };

    void serve(const ScriptedTarget::Request &request);
    void answer(const ScriptedTarget::Request &request, int status, const std::string &body);
    void append(const std::string &topic, std::string content);
    std::string newest(const std::string &topic) const;
    std::string recordsFrom(const std::string &topic, std::size_t offset) const;

    EventLoop &m_loop;
    ScriptedTarget m_server;
    std::uint64_t m_era = 0;
    std::map<std::string, Topic> m_topics;
    std::map<std::string, int> m_refused;
    std::vector<HeldRead> m_held;
};

} // namespace celeryroute
