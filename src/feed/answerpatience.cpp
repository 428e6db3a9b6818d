#include <celeryroute/detail/feed/answerpatience.h>

#include <algorithm>

namespace celeryroute {

namespace {

constexpr int PatiencePerLatency = 2;
// After a timeout the slowest answer is taken to be this part of the time that was waited.
constexpr int LostParts = 3;
constexpr int LostPartsWhole = 4;
// Share of the slowest answer that is remembered after each quicker one.
constexpr int Kept = 9;
constexpr int KeptOf = 10;

} // namespace

AnswerPatience::AnswerPatience(Duration least, Duration most)
    : m_least(least)
    , m_most(std::max(least, most))
{}

void AnswerPatience::useLimits(Duration least, Duration most)
{
    m_least = least;
    m_most = std::max(least, most);
}

void AnswerPatience::answeredAfter(Duration latency)
{
    m_slowest = std::max(latency, m_slowest * Kept / KeptOf);
}

void AnswerPatience::timedOut()
{
    // Answers may be slow or lost; patience grows for the first and stays bounded for the second.
    m_slowest = std::max(m_slowest, patience() * LostParts / LostPartsWhole);
}

Duration AnswerPatience::patience() const
{
    return std::clamp(m_slowest * PatiencePerLatency, m_least, m_most);
}

} // namespace celeryroute
