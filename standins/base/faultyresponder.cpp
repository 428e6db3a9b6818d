#include <standins/faultyresponder.h>

#include <unistd.h>
#include <utility>

namespace celeryroute {

namespace {

constexpr int CrashExitCode = 70;

} // namespace

FaultyResponder::FaultyResponder(std::shared_ptr<HttpResponder> inner,
                                 std::shared_ptr<FaultState> state,
                                 std::uint64_t connection)
    : m_inner(std::move(inner))
    , m_state(std::move(state))
    , m_connection(connection)
{}

FaultyResponder::~FaultyResponder()
{
    if (m_state->silences(m_connection)) {
        m_state->hold(m_inner);
    }
}

bool FaultyResponder::passes()
{
    return !m_state->silences(m_connection);
}

void FaultyResponder::respond(HttpResponse response)
{
    if (!passes()) {
        return;
    }
    if (m_state->faults().crashAfterEffect) {
        _exit(CrashExitCode);
    }
    if (m_state->takeDroppedAnswer()) {
        m_inner->end(false);
        return;
    }
    m_inner->respond(std::move(response));
}

void FaultyResponder::begin(int status, HttpFields headers)
{
    if (!passes()) {
        return;
    }
    if (m_state->takeDroppedAnswer()) {
        m_inner->end(false);
        return;
    }
    m_inner->begin(status, std::move(headers));
}

void FaultyResponder::write(std::string data)
{
    if (passes()) {
        m_inner->write(std::move(data));
    }
}

void FaultyResponder::end(bool complete)
{
    if (passes()) {
        m_inner->end(complete);
    }
}

std::size_t FaultyResponder::pendingBytes() const
{
    return m_inner->pendingBytes();
}

bool FaultyResponder::closed() const
{
    return m_inner->closed();
}

void FaultyResponder::onClosed(std::function<void()> callback)
{
    m_inner->onClosed(std::move(callback));
}

} // namespace celeryroute
