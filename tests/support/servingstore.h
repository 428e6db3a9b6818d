#pragma once

#include "servingtarget.h"

#include <map>
#include <string>
#include <vector>

namespace celeryroute {

/// The platform's store: topics with one partition, held reads, and faults.
class ServingStore
{
public:
    explicit ServingStore(EventLoop &loop);

    /// @brief Appends a record with a key; an empty value drops the key.
    void put(const std::string &topic, const std::string &key, const std::string &value);
    /// @brief Answers calls for topics with @p part in their name with @p status; 0 serves them again.
    void refuse(const std::string &part, int status);

    std::string address() const
    {
        return m_server.address();
    }
    std::size_t calls() const
    {
        return m_server.requests().size();
    }

private:
    /// Contents of records without their length, from offset 0.
    using Topic = std::vector<std::string>;
    struct HeldRead {
        std::string topic;
        std::size_t from = 0;
        ServingTarget::Request request;
    };

    void serve(const ServingTarget::Request &request);
    void append(const std::string &topic, std::string content);
    std::string newest(const std::string &topic) const;
    std::string recordsFrom(const std::string &topic, std::size_t offset) const;

    EventLoop &m_loop;
    ServingTarget m_server;
    std::map<std::string, Topic> m_topics;
    std::map<std::string, int> m_refused;
    std::vector<HeldRead> m_held;
};

} // namespace celeryroute
