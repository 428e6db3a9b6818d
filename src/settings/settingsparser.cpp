#include <celeryroute/detail/settings/settingsparser.h>

#include <cctype>
#include <cstdlib>
#include <memory>
#include <popt.h>
#include <unistd.h>

namespace celeryroute {

namespace {

constexpr int HelpOption = 1;
constexpr int VersionOption = 2;
constexpr int CheckOption = 3;
constexpr int FirstSettingOption = 100;

// popt keeps pointers into this table and its strings, so both live as long as the context.
struct PoptTable {
    std::vector<std::string> descriptions;
    std::vector<poptOption> options;
};

poptOption
makeOption(const char *name, char shortName, int argInfo, int value, const char *help, const char *placeholder)
{
    poptOption option{};
    option.longName = name;
    option.shortName = shortName;
    option.argInfo = static_cast<unsigned int>(argInfo);
    option.val = value;
    option.descrip = help;
    option.argDescrip = placeholder;
    return option;
}

std::string describe(const SettingSpec &spec)
{
    std::string text = spec.help;
    if (!spec.defaultValue.empty()) {
        text += " [" + spec.defaultValue + "]";
    }
    return text;
}

void fillTable(PoptTable &table, const std::vector<SettingSpec> &specs)
{
    table.descriptions.reserve(specs.size());
    for (std::size_t i = 0; i < specs.size(); ++i) {
        const SettingSpec &spec = specs[i];
        table.descriptions.push_back(describe(spec));
        const int argInfo = spec.isSwitch() ? POPT_ARG_NONE : POPT_ARG_STRING;
        const char *placeholder = spec.isSwitch() ? nullptr : spec.placeholder.c_str();
        table.options.push_back(makeOption(spec.name.c_str(),
                                           '\0',
                                           argInfo,
                                           FirstSettingOption + static_cast<int>(i),
                                           table.descriptions.back().c_str(),
                                           placeholder));
    }
    table.options.push_back(
        makeOption("check", '\0', POPT_ARG_NONE, CheckOption, "check the settings and exit", nullptr));
    table.options.push_back(
        makeOption("version", '\0', POPT_ARG_NONE, VersionOption, "print the version and exit", nullptr));
    table.options.push_back(makeOption("help", 'h', POPT_ARG_NONE, HelpOption, "print this text and exit", nullptr));
    table.options.push_back(poptOption{});
}

struct ContextDeleter {
    void operator()(poptContext context) const
    {
        poptFreeContext(context);
    }
};
using ContextPointer = std::unique_ptr<std::remove_pointer_t<poptContext>, ContextDeleter>;

std::string renderHelp(poptContext context)
{
    char *buffer = nullptr;
    std::size_t size = 0;
    FILE *stream = open_memstream(&buffer, &size);
    if (stream == nullptr) {
        return {};
    }
    poptPrintHelp(context, stream, 0);
    (void)std::fclose(stream);
    std::string text(buffer, size);
    std::free(buffer);
    return text
        + "\nEvery setting can also be given as an environment variable: CELERYROUTE_ and the name of\n"
          "the flag in upper case with underscores, e.g. "
        + environmentName("log-url") + ".\n";
}

void readEnvironment(const std::vector<SettingSpec> &specs,
                     const std::map<std::string, std::string> &environment,
                     ParsedSettings &parsed)
{
    for (const SettingSpec &spec : specs) {
        const auto found = environment.find(environmentName(spec.name));
        if (found != environment.end()) {
            parsed.values[spec.name] = found->second;
        } else if (!spec.defaultValue.empty()) {
            parsed.values[spec.name] = spec.defaultValue;
        }
    }
}

void takeOption(poptContext context, int option, const std::vector<SettingSpec> &specs, ParsedSettings &parsed)
{
    if (option == HelpOption) {
        parsed.helpWanted = true;
    } else if (option == VersionOption) {
        parsed.versionWanted = true;
    } else if (option == CheckOption) {
        parsed.checkWanted = true;
    } else if (option >= FirstSettingOption) {
        const SettingSpec &spec = specs[static_cast<std::size_t>(option - FirstSettingOption)];
        char *value = poptGetOptArg(context);
        parsed.values[spec.name] = value == nullptr ? "true" : value;
        std::free(value);
    } else {
        const std::string word = poptBadOption(context, POPT_BADOPTION_NOALIAS);
        const ResultCode code = option == POPT_ERROR_BADOPT ? ResultCode::SettingUnknown : ResultCode::SettingInvalid;
        parsed.errors.push_back({code, word + ": " + poptStrerror(option)});
    }
}

} // namespace

std::string environmentName(const std::string &name)
{
    std::string variable = "CELERYROUTE_";
    for (const char letter : name) {
        variable += letter == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(letter)));
    }
    return variable;
}

SettingsParser::SettingsParser(std::string program, std::string usage, std::vector<SettingSpec> specs)
    : m_program(std::move(program))
    , m_usage(std::move(usage))
    , m_specs(std::move(specs))
{}

ParsedSettings SettingsParser::parse(const std::vector<std::string> &words,
                                     const std::map<std::string, std::string> &environment) const
{
    ParsedSettings parsed;
    readEnvironment(m_specs, environment, parsed);

    PoptTable table;
    fillTable(table, m_specs);
    std::vector<const char *> argv{m_program.c_str()};
    for (const std::string &word : words) {
        argv.push_back(word.c_str());
    }
    argv.push_back(nullptr);
    const ContextPointer context(
        poptGetContext(m_program.c_str(), static_cast<int>(argv.size()) - 1, argv.data(), table.options.data(), 0));
    poptSetOtherOptionHelp(context.get(), m_usage.c_str());
    for (int option = poptGetNextOpt(context.get()); option != -1; option = poptGetNextOpt(context.get())) {
        takeOption(context.get(), option, m_specs, parsed);
        if (option == POPT_ERROR_NOARG) {
            break;
        }
    }
    for (const char *word = poptGetArg(context.get()); word != nullptr; word = poptGetArg(context.get())) {
        parsed.arguments.emplace_back(word);
    }
    parsed.helpText = renderHelp(context.get());
    return parsed;
}

std::map<std::string, std::string> processEnvironment()
{
    std::map<std::string, std::string> variables;
    for (char **entry = environ; entry != nullptr && *entry != nullptr; ++entry) {
        const std::string text = *entry;
        const std::size_t equals = text.find('=');
        if (equals != std::string::npos) {
            variables.emplace(text.substr(0, equals), text.substr(equals + 1));
        }
    }
    return variables;
}

std::vector<std::string> commandLineWords(int argc, char **argv)
{
    return argc > 1 ? std::vector<std::string>(argv + 1, argv + argc) : std::vector<std::string>();
}

} // namespace celeryroute
