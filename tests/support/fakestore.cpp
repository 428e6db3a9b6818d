#include "fakestore.h"

#include <celeryroute/detail/net/eventloop.h>
#include <celeryroute/platform/bytes.h>

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace celeryroute {

namespace {

constexpr std::size_t LengthBytes = 4;
constexpr std::size_t OffsetBytes = 8;

std::string queryValue(const std::string &target, const std::string &name)
{
    const std::size_t at = target.find(name + '=');
    const std::size_t begin = at + name.size() + 1;
    return at == std::string::npos ? std::string() : target.substr(begin, target.find('&', begin) - begin);
}

std::string base64(const std::string &bytes)
{
    static const std::string Letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = i; j < i + 3; ++j) {
            group = group << 8U | (j < bytes.size() ? static_cast<unsigned char>(bytes[j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            text += i + j <= bytes.size() ? Letters[group >> (18U - 6U * j) & 63U] : '=';
        }
    }
    return text;
}

} // namespace

FakeStore::FakeStore(EventLoop &loop)
    : m_loop(loop)
    , m_server(loop)
{
    m_server.onRequest([this](const ScriptedTarget::Request &request) { serve(request); });
}

void FakeStore::put(const std::string &topic, const std::string &key, const std::string &value)
{
    append(topic, static_cast<char>(key.size()) + key + value);
}

void FakeStore::refuse(const std::string &part, int status)
{
    m_refused[part] = status;
}

void FakeStore::restore(std::size_t lost)
{
    constexpr int Unavailable = 503;
    for (auto &[name, records] : m_topics) {
        records.resize(records.size() - std::min(lost, records.size()));
    }
    ++m_era;
    for (const HeldRead &read : std::exchange(m_held, {})) {
        answer(read.request, Unavailable, {});
    }
}

void FakeStore::answer(const ScriptedTarget::Request &request, int status, const std::string &body)
{
    m_server.answer(request, httpAnswer(status, body, "Store-Era: " + std::to_string(m_era) + "\r\n"));
}

void FakeStore::serve(const ScriptedTarget::Request &request)
{
    const std::string &target = request.head.target;
    const std::string topic = queryValue(target, "topic");
    for (const auto &[part, status] : m_refused) {
        if (status != 0 && topic.find(part) != std::string::npos) {
            answer(request, status, {});
            return;
        }
    }
    if (target.starts_with("/api/log-newest")) {
        answer(request, 200, newest(topic));
    } else if (target.starts_with("/api/log-append")) {
        const std::size_t offset = m_topics[topic].size();
        append(topic, request.body.substr(std::min(LengthBytes, request.body.size())));
        answer(request, 200, "{\"offset\":" + std::to_string(offset) + ",\"end\":" + std::to_string(offset + 1) + '}');
    } else if (target.starts_with("/api/log-read")) {
        const std::size_t from = std::stoul(queryValue(target, "from"));
        const std::string wait = queryValue(target, "wait_ms");
        if (from < m_topics[topic].size() || wait.empty()) {
            answer(request, 200, recordsFrom(topic, from));
            return;
        }
        m_held.push_back({topic, from, request});
        m_loop.at(m_loop.now() + std::chrono::milliseconds(std::stol(wait)), [this, request, topic, from] {
            const auto held = std::find_if(m_held.begin(), m_held.end(), [&request](const HeldRead &read) {
                return read.request.channel == request.channel;
            });
            if (held != m_held.end()) {
                m_held.erase(held);
                answer(request, 200, recordsFrom(topic, from));
            }
        });
    } else {
        answer(request, 400, {});
    }
}

void FakeStore::append(const std::string &topic, std::string content)
{
    m_topics[topic].push_back(std::move(content));
    std::vector<HeldRead> held;
    held.swap(m_held);
    for (const HeldRead &read : held) {
        if (read.topic == topic) {
            answer(read.request, 200, recordsFrom(topic, read.from));
        } else {
            m_held.push_back(read);
        }
    }
}

std::string FakeStore::newest(const std::string &topic) const
{
    std::map<std::string, nlohmann::json> items;
    const auto found = m_topics.find(topic);
    const Topic records = found == m_topics.end() ? Topic() : found->second;
    for (std::size_t offset = 0; offset < records.size(); ++offset) {
        const std::size_t keyBytes = static_cast<unsigned char>(records[offset][0]);
        const std::string key = records[offset].substr(1, keyBytes);
        const std::string value = records[offset].substr(1 + keyBytes);
        items[key] = {{"key", key}, {"value", base64(value)}, {"offset", offset}};
        if (value.empty()) {
            items.erase(key);
        }
    }
    nlohmann::json page = {{"items", nlohmann::json::array()}, {"more", false}, {"end", records.size()}};
    for (const auto &[key, item] : items) {
        page["items"].push_back(item);
    }
    return page.dump();
}

std::string FakeStore::recordsFrom(const std::string &topic, std::size_t offset) const
{
    const auto found = m_topics.find(topic);
    const Topic records = found == m_topics.end() ? Topic() : found->second;
    std::string body;
    platform::appendBigEndian(body, records.size(), OffsetBytes);
    platform::appendBigEndian(body, 0, OffsetBytes);
    for (; offset < records.size(); ++offset) {
        platform::appendBigEndian(body, records[offset].size(), LengthBytes);
        body += records[offset];
    }
    return body;
}

} // namespace celeryroute
