#pragma once

#include <celeryroute/detail/settings/parsedsettings.h>
#include <celeryroute/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace celeryroute {

/// @brief Turns parsed words into typed values and collects one error per bad setting.
///
/// After an error the value returned is a placeholder; use it only when errors() is empty.
class SettingReader
{
public:
    explicit SettingReader(const ParsedSettings &parsed);

    std::string text(const std::string &name);
    std::string requiredText(const std::string &name);
    bool flag(const std::string &name);
    std::int64_t integer(const std::string &name, std::int64_t least, std::int64_t most);
    double number(const std::string &name, double least, double most);
    /// @brief Milliseconds as a duration.
    Duration milliseconds(const std::string &name, std::int64_t least, std::int64_t most);
    /// @brief An IPv4 number and a port, `127.0.0.1:8080`; port 0 is allowed.
    std::string endpoint(const std::string &name);
    /// @brief An `http://` URL with an IPv4 number; empty when not required and not given.
    std::string url(const std::string &name, bool required);
    std::string choice(const std::string &name, const std::vector<std::string> &choices);
    /// @brief Comma-separated words; empty ones are left out.
    std::vector<std::string> list(const std::string &name);
    void addError(ResultCode code, std::string message);

    const std::vector<Error> &errors() const;

private:
    std::optional<std::string> find(const std::string &name) const;

    const ParsedSettings &m_parsed;
    std::vector<Error> m_errors;
};

} // namespace celeryroute
