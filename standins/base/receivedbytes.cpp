#include <standins/receivedbytes.h>

#include <absl/strings/str_cat.h>

namespace celeryroute {

ReceivedBytes::ReceivedBytes(std::size_t limit)
    : m_limit(limit)
{}

void ReceivedBytes::add(const HttpRequest &request)
{
    std::string text = absl::StrCat(request.method, " ", request.path);
    for (const auto &[name, value] : request.query) {
        absl::StrAppend(&text, "&", name, "=", value);
    }
    text += '\n';
    for (const auto &[name, value] : request.headers) {
        absl::StrAppend(&text, name, ": ", value, "\n");
    }
    absl::StrAppend(&text, "\n", request.body, "\n\n");
    absl::MutexLock lock(&m_mutex);
    if (m_text.size() + text.size() > m_limit) {
        m_truncated = true;
        return;
    }
    m_text += text;
}

std::string ReceivedBytes::text() const
{
    absl::MutexLock lock(&m_mutex);
    return m_text;
}

bool ReceivedBytes::truncated() const
{
    absl::MutexLock lock(&m_mutex);
    return m_truncated;
}

} // namespace celeryroute
