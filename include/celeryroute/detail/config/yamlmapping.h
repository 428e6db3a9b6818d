#pragma once

#include <celeryroute/detail/config/sourceproblem.h>

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace celeryroute {

/// Where the parts of one declared item stand, and what is wrong with them.
struct YamlItem {
    std::string file;
    std::map<std::string, SourcePosition> positions; ///< By path; the empty path is the item.
    std::set<std::string> faultyPaths;
    SourceProblems problems;

    void addProblem(const std::string &path, ResultCode code, std::string message);
    /// @brief The position of @p path or of the nearest part around it.
    SourcePosition positionOf(std::string path) const;
};

/// @brief Reads one YAML mapping field by field; mistakes go to the item.
///
/// An absent or faulty field leaves the value given as default.
class YamlMapping
{
public:
    YamlMapping(const YAML::Node &node, std::string path, YamlItem &item, const std::vector<std::string> &knownFields);

    std::string requiredText(const std::string &field);
    std::string text(const std::string &field, const std::string &defaultValue);
    std::uint32_t requiredInteger(const std::string &field);
    std::uint32_t integer(const std::string &field, std::uint32_t defaultValue);
    double requiredNumber(const std::string &field);
    double number(const std::string &field, double defaultValue);
    bool boolean(const std::string &field, bool defaultValue);
    std::vector<std::string> texts(const std::string &field);
    /// @brief The elements of the sequence @p field.
    std::vector<YAML::Node> sequence(const std::string &field);
    std::optional<YAML::Node> child(const std::string &field) const;
    std::string pathOf(const std::string &field) const;
    void addProblem(const std::string &field, ResultCode code, std::string message);

private:
    std::optional<std::string> scalar(const std::string &field);
    bool require(const std::string &field);

    std::string m_path;
    YamlItem &m_item;
    std::map<std::string, YAML::Node> m_fields;
};

} // namespace celeryroute
