#include <celeryroute/detail/feed/answerpatience.h>

#include <algorithm>

namespace celeryroute {

namespace {

constexpr int PatiencePerLatency = 2;
// After a timeout, the peak latency is raised to at least this fraction of the timeout.
constexpr int LostParts = 3;
constexpr int LostPartsWhole = 4;
// The peak latency decays to this fraction with each faster answer.
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
    // The answer may be slow or lost: the timeout grows in case it is slow, but stays bounded in case it is lost.
    m_slowest = std::max(m_slowest, patience() * LostParts / LostPartsWhole);
}

Duration AnswerPatience::patience() const
{
    return std::clamp(m_slowest * PatiencePerLatency, m_least, m_most);
}

} // namespace celeryroute
