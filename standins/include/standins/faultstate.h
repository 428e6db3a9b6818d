#pragma once

#include <celeryroute/detail/http/httpserver.h>
#include <standins/faults.h>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <memory>
#include <vector>

namespace celeryroute {

/// @brief The faults in force, shared by all requests of a stand-in.
class FaultState
{
public:
    Faults faults() const;
    /// @brief Connections up to @p lastConnection fall silent when `silent` is newly set.
    void setFaults(const Faults &faults, std::uint64_t lastConnection);
    bool silences(std::uint64_t connection) const;
    /// @brief Takes one of the answers to be lost.
    bool takeDroppedAnswer();
    /// @brief Keeps a responder, and so its connection, open without an answer.
    void hold(std::shared_ptr<HttpResponder> responder);
    /// @brief Lets go of everything held; for the end of the program.
    void releaseHeld();

private:
    mutable absl::Mutex m_mutex;
    Faults m_faults ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_silentUpTo ABSL_GUARDED_BY(m_mutex) = 0;
    std::vector<std::shared_ptr<HttpResponder>> m_held ABSL_GUARDED_BY(m_mutex);
};

} // namespace celeryroute
