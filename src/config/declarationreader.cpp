#include <celeryroute/detail/config/declarationreader.h>
#include <celeryroute/detail/config/joinvalidation.h>
#include <celeryroute/detail/config/similarname.h>
#include <celeryroute/detail/config/specreader.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

namespace celeryroute {

namespace {
const std::vector<std::string> TopLevelFields = {"routes", "pools", "customers"};

template <typename Spec>
std::vector<std::string> namesOf(const std::map<std::string, Spec> &table)
{
    std::vector<std::string> names;
    names.reserve(table.size());
    for (const auto &[name, spec] : table) {
        names.push_back(name);
    }
    return names;
}

// Reads all sources item by item, then judges the joins between what was read.
class DeclarationParser
{
public:
    void addSource(const SourceText &source)
    {
        try {
            for (const YAML::Node &document : YAML::LoadAll(source.text)) {
                addDocument(source.file, document);
            }
        } catch (const YAML::Exception &exception) {
            const SourcePosition position{source.file, exception.mark.line + 1, exception.mark.column + 1};
            m_parsed.problems.push_back({position, {ResultCode::DeclarationSyntax, exception.msg}});
        }
    }

    void addProblem(SourceProblem problem)
    {
        m_parsed.problems.push_back(std::move(problem));
    }

    ParsedDeclarations finish()
    {
        checkJoins();
        checkPaths();
        std::stable_sort(m_parsed.problems.begin(), m_parsed.problems.end(), [](const auto &left, const auto &right) {
            return left.position < right.position;
        });
        return std::move(m_parsed);
    }

private:
    void addDocument(const std::string &file, const YAML::Node &document)
    {
        if (!document.IsDefined() || document.IsNull()) {
            return;
        }
        YamlItem top;
        top.file = file;
        YamlMapping mapping(document, "", top, TopLevelFields);
        const auto routes = mapping.sequence("routes");
        const auto pools = mapping.sequence("pools");
        const auto customers = mapping.sequence("customers");
        takeProblems(top);
        addItems(file, routes, "route", readRoute, m_parsed.declarations.routes);
        addItems(file, pools, "pool", readPool, m_parsed.declarations.pools);
        addItems(file, customers, "customer", readCustomer, m_parsed.declarations.customers);
    }

    template <typename Spec>
    void addItems(const std::string &file,
                  const std::vector<YAML::Node> &nodes,
                  const std::string &kind,
                  Spec (*read)(const YAML::Node &, YamlItem &),
                  std::map<std::string, Spec> &table)
    {
        for (const YAML::Node &node : nodes) {
            YamlItem item;
            item.file = file;
            Spec spec = read(node, item);
            const std::string name = spec.name;
            bool isNewRoute = false;
            if (!name.empty() && !table.emplace(name, std::move(spec)).second) {
                item.addProblem("name",
                                ResultCode::DeclarationDuplicate,
                                absl::StrCat(kind, " '", name, "' is declared twice"));
            } else if (kind == "route") {
                isNewRoute = true;
            }
            takeProblems(item);
            if (isNewRoute) {
                m_routeItems[name] = std::move(item);
            }
        }
    }

    void takeProblems(YamlItem &item)
    {
        for (SourceProblem &problem : item.problems) {
            m_parsed.problems.push_back(std::move(problem));
        }
        item.problems.clear();
    }

    JoinLookup lookup() const
    {
        const Declarations &declarations = m_parsed.declarations;
        JoinLookup lookup;
        lookup.pool = [&declarations](const std::string &name) {
            const auto found = declarations.pools.find(name);
            return found == declarations.pools.end() ? nullptr : &found->second;
        };
        lookup.hasCustomer = [&declarations](const std::string &name) {
            return declarations.customers.count(name) != 0;
        };
        lookup.similarPool = [&declarations](const std::string &name) {
            return similarName(name, namesOf(declarations.pools));
        };
        lookup.similarCustomer = [&declarations](const std::string &name) {
            return similarName(name, namesOf(declarations.customers));
        };
        return lookup;
    }

    void checkJoins()
    {
        const JoinLookup joins = lookup();
        for (const auto &[name, route] : m_parsed.declarations.routes) {
            YamlItem &item = m_routeItems[name];
            for (DeclarationProblem &problem : validateJoins(route, joins)) {
                if (item.faultyPaths.count(problem.path) == 0) {
                    item.addProblem(problem.path, problem.error.code, std::move(problem.error.message));
                }
            }
            takeProblems(item);
        }
    }

    void checkPaths()
    {
        std::map<std::string, std::string> ownerOfPath;
        for (const auto &[name, route] : m_parsed.declarations.routes) {
            const auto [owner, added] = ownerOfPath.emplace(route.path, name);
            if (!route.path.empty() && !added) {
                YamlItem &item = m_routeItems[name];
                item.addProblem("path",
                                ResultCode::DeclarationDuplicate,
                                absl::StrCat("route '", owner->second, "' has the path ", route.path, " too"));
                takeProblems(item);
            }
        }
    }

    ParsedDeclarations m_parsed;
    std::map<std::string, YamlItem> m_routeItems;
};

std::vector<std::string> filesOf(const std::string &path)
{
    std::error_code error;
    if (!std::filesystem::is_directory(path, error)) {
        return {path};
    }
    std::vector<std::string> files;
    for (const auto &entry : std::filesystem::directory_iterator(path, error)) {
        if (entry.path().extension() == ".yaml") {
            files.push_back(entry.path().string());
        }
    }
    std::sort(files.begin(), files.end());
    return files;
}
} // namespace

ParsedDeclarations parseDeclarations(const std::vector<SourceText> &sources)
{
    DeclarationParser parser;
    for (const SourceText &source : sources) {
        parser.addSource(source);
    }
    return parser.finish();
}

ParsedDeclarations readDeclarations(const std::vector<std::string> &paths)
{
    DeclarationParser parser;
    for (const std::string &path : paths) {
        const std::vector<std::string> files = filesOf(path);
        if (files.empty()) {
            parser.addProblem(
                {{path, 0, 0}, {ResultCode::DeclarationFileUnreadable, "the folder holds no .yaml file"}});
        }
        for (const std::string &file : files) {
            std::ifstream stream(file);
            std::stringstream text;
            if (!stream || !(text << stream.rdbuf())) {
                parser.addProblem({{file, 0, 0}, {ResultCode::DeclarationFileUnreadable, "the file cannot be read"}});
                continue;
            }
            parser.addSource({file, text.str()});
        }
    }
    return parser.finish();
}

} // namespace celeryroute
