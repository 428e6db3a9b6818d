#include <celeryroute/detail/entry/answerrelay.h>

namespace celeryroute {

std::string AnswerRelay::take(std::uint64_t sequence, std::string data)
{
    if (sequence < m_next) {
        return {};
    }
    m_early.emplace(sequence, std::move(data));
    std::string ready;
    for (auto first = m_early.begin(); first != m_early.end() && first->first == m_next; first = m_early.begin()) {
        ready += first->second;
        m_early.erase(first);
        ++m_next;
    }
    return ready;
}

void AnswerRelay::finish(std::uint64_t chunks)
{
    m_chunks = chunks;
}

bool AnswerRelay::complete() const
{
    return m_chunks && m_next >= *m_chunks;
}

bool AnswerRelay::gap() const
{
    return !m_early.empty() || (m_chunks && m_next < *m_chunks);
}

std::uint64_t AnswerRelay::nextSequence() const
{
    return m_next;
}

} // namespace celeryroute
