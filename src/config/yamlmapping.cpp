#include <celeryroute/detail/config/similarname.h>
#include <celeryroute/detail/config/yamlmapping.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace celeryroute {

namespace {
SourcePosition positionOfNode(const std::string &file, const YAML::Node &node)
{
    const YAML::Mark mark = node.Mark();
    return mark.is_null() ? SourcePosition{file, 0, 0} : SourcePosition{file, mark.line + 1, mark.column + 1};
}
} // namespace

bool operator<(const SourcePosition &left, const SourcePosition &right)
{
    return std::tie(left.file, left.line, left.column) < std::tie(right.file, right.line, right.column);
}

std::string toString(const SourceProblem &problem)
{
    const SourcePosition &position = problem.position;
    const std::string place = position.line == 0 ? "" : absl::StrCat(position.line, ":", position.column, ":");
    return absl::StrCat(position.file, ":", place, " ", toString(problem.error));
}

void YamlItem::addProblem(const std::string &path, ResultCode code, std::string message)
{
    faultyPaths.insert(path);
    problems.push_back({positionOf(path), Error{code, std::move(message)}});
}

SourcePosition YamlItem::positionOf(std::string path) const
{
    while (true) {
        const auto found = positions.find(path);
        if (found != positions.end()) {
            return found->second;
        }
        if (path.empty()) {
            return {file, 0, 0};
        }
        const std::size_t slash = path.rfind('/');
        path = slash == std::string::npos ? std::string() : path.substr(0, slash);
    }
}

YamlMapping::YamlMapping(const YAML::Node &node,
                         std::string path,
                         YamlItem &item,
                         const std::vector<std::string> &knownFields)
    : m_path(std::move(path))
    , m_item(item)
{
    m_item.positions[m_path] = positionOfNode(m_item.file, node);
    if (!node.IsMap()) {
        m_item.addProblem(m_path, ResultCode::DeclarationInvalidValue, "expected a mapping of fields");
        return;
    }
    for (const auto &entry : node) {
        const std::string field = entry.first.IsScalar() ? entry.first.Scalar() : std::string();
        m_item.positions[pathOf(field)] = positionOfNode(m_item.file, entry.first);
        if (std::find(knownFields.begin(), knownFields.end(), field) == knownFields.end()) {
            const std::string similar = similarName(field, knownFields);
            const std::string hint = similar.empty() ? "" : absl::StrCat("; did you mean '", similar, "'?");
            addProblem(field, ResultCode::DeclarationUnknownField, absl::StrCat("unknown field '", field, "'", hint));
        } else if (!m_fields.emplace(field, entry.second).second) {
            addProblem(field, ResultCode::DeclarationDuplicate, absl::StrCat("field '", field, "' is given twice"));
        }
    }
}

std::string YamlMapping::pathOf(const std::string &field) const
{
    return m_path.empty() ? field : absl::StrCat(m_path, "/", field);
}

void YamlMapping::addProblem(const std::string &field, ResultCode code, std::string message)
{
    m_item.addProblem(pathOf(field), code, std::move(message));
}

std::optional<YAML::Node> YamlMapping::child(const std::string &field) const
{
    const auto found = m_fields.find(field);
    return found == m_fields.end() ? std::nullopt : std::optional<YAML::Node>(found->second);
}

bool YamlMapping::require(const std::string &field)
{
    if (m_fields.count(field) == 0 && m_item.faultyPaths.count(m_path) == 0) {
        addProblem(field, ResultCode::DeclarationMissingField, absl::StrCat("field '", field, "' is missing"));
    }
    return m_fields.count(field) != 0;
}

std::optional<std::string> YamlMapping::scalar(const std::string &field)
{
    const std::optional<YAML::Node> node = child(field);
    if (!node) {
        return std::nullopt;
    }
    if (!node->IsScalar()) {
        addProblem(field, ResultCode::DeclarationInvalidValue, absl::StrCat(field, " must be a single value"));
        return std::nullopt;
    }
    return node->Scalar();
}

std::string YamlMapping::requiredText(const std::string &field)
{
    return require(field) ? text(field, "") : std::string();
}

std::string YamlMapping::text(const std::string &field, const std::string &defaultValue)
{
    return scalar(field).value_or(defaultValue);
}

std::uint32_t YamlMapping::requiredInteger(const std::string &field)
{
    return require(field) ? integer(field, 0) : 0;
}

std::uint32_t YamlMapping::integer(const std::string &field, std::uint32_t defaultValue)
{
    const std::optional<std::string> word = scalar(field);
    std::uint32_t value = defaultValue;
    if (word && !absl::SimpleAtoi(*word, &value)) {
        addProblem(field,
                   ResultCode::DeclarationInvalidValue,
                   absl::StrCat(field, " is '", *word, "'; it must be a whole number, 0 or more"));
        return defaultValue;
    }
    return value;
}

double YamlMapping::requiredNumber(const std::string &field)
{
    return require(field) ? number(field, 0) : 0;
}

double YamlMapping::number(const std::string &field, double defaultValue)
{
    const std::optional<std::string> word = scalar(field);
    double value = defaultValue;
    if (word && !absl::SimpleAtod(*word, &value)) {
        addProblem(field,
                   ResultCode::DeclarationInvalidValue,
                   absl::StrCat(field, " is '", *word, "'; it must be a number"));
        return defaultValue;
    }
    return value;
}

bool YamlMapping::boolean(const std::string &field, bool defaultValue)
{
    const std::optional<std::string> word = scalar(field);
    if (word && *word != "true" && *word != "false") {
        addProblem(field,
                   ResultCode::DeclarationInvalidValue,
                   absl::StrCat(field, " is '", *word, "'; it must be true or false"));
        return defaultValue;
    }
    return word ? *word == "true" : defaultValue;
}

std::vector<YAML::Node> YamlMapping::sequence(const std::string &field)
{
    const std::optional<YAML::Node> node = child(field);
    if (!node) {
        return {};
    }
    if (!node->IsSequence()) {
        addProblem(field, ResultCode::DeclarationInvalidValue, absl::StrCat(field, " must be a list"));
        return {};
    }
    std::vector<YAML::Node> elements;
    for (const YAML::Node &element : *node) {
        const std::string path = absl::StrCat(pathOf(field), "/", elements.size());
        m_item.positions[path] = positionOfNode(m_item.file, element);
        elements.push_back(element);
    }
    return elements;
}

std::vector<std::string> YamlMapping::texts(const std::string &field)
{
    std::vector<std::string> values;
    for (const YAML::Node &element : sequence(field)) {
        if (element.IsScalar()) {
            values.push_back(element.Scalar());
            continue;
        }
        m_item.addProblem(absl::StrCat(pathOf(field), "/", values.size()),
                          ResultCode::DeclarationInvalidValue,
                          absl::StrCat(field, " must be a list of names"));
        values.emplace_back();
    }
    return values;
}

} // namespace celeryroute
