#pragma once

#include <standins/faultstate.h>

#include <memory>

namespace celeryroute {

/// @brief Passes an answer on, unless a fault loses or silences it.
class FaultyResponder : public HttpResponder
{
public:
    FaultyResponder(std::shared_ptr<HttpResponder> inner, std::shared_ptr<FaultState> state, std::uint64_t connection);
    ~FaultyResponder() override;
    FaultyResponder(const FaultyResponder &) = delete;
    FaultyResponder &operator=(const FaultyResponder &) = delete;

    void respond(HttpResponse response) override;
    void begin(int status, HttpFields headers) override;
    void write(std::string data) override;
    void end(bool complete) override;
    std::size_t pendingBytes() const override;
    bool closed() const override;
    void onClosed(std::function<void()> callback) override;

private:
    bool passes();

    std::shared_ptr<HttpResponder> m_inner;
    std::shared_ptr<FaultState> m_state;
    const std::uint64_t m_connection;
};

} // namespace celeryroute
