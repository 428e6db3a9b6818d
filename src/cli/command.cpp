#include <celeryroute/detail/base/digest.h>
#include <celeryroute/detail/cli/command.h>
#include <celeryroute/detail/cli/commandoutput.h>
#include <celeryroute/detail/config/declarationreader.h>
#include <celeryroute/detail/state/newrecord.h>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <optional>
#include <sstream>

namespace celeryroute {

namespace {
using Words = std::vector<std::string>;

constexpr std::size_t KeyBytes = 24;
constexpr std::size_t MinDigestPrefix = 8;
const std::string KeyPrefix = "cr-";

// Runs one command; each method is one of them.
class CommandRunner
{
public:
    CommandRunner(const CommandOptions &options, CommandContext &context)
        : m_options(options)
        , m_context(context)
    {}

    ExitCode validate(const Words &paths)
    {
        if (!readFiles(paths)) {
            return ExitCode::Refused;
        }
        const Declarations &read = m_parsed.declarations;
        m_context.out << (m_options.json ? nlohmann::json{{"result", "valid"}}.dump()
                                         : absl::StrCat("valid: ",
                                                        read.routes.size(),
                                                        " routes, ",
                                                        read.pools.size(),
                                                        " pools, ",
                                                        read.customers.size(),
                                                        " customers"))
                      << "\n";
        return ExitCode::Ok;
    }

    ExitCode diff(const Words &paths)
    {
        if (!readFiles(paths)) {
            return ExitCode::Refused;
        }
        return withState([this](LogSession &, const FleetState &state) {
            printPlan(m_options, m_context, planChanges(m_parsed.declarations, state, m_options.prune));
            return ExitCode::Ok;
        });
    }

    ExitCode apply(const Words &paths)
    {
        if (!readFiles(paths)) {
            return ExitCode::Refused;
        }
        return withState([this](LogSession &session, const FleetState &state) {
            const std::vector<PlannedChange> plan = planChanges(m_parsed.declarations, state, m_options.prune);
            if (plan.empty() || !m_options.json) {
                printPlan(m_options, m_context, plan);
            }
            if (plan.empty()) {
                return ExitCode::Ok;
            }
            proto::LogRecord record = makeRecord();
            for (const PlannedChange &planned : plan) {
                *record.mutable_declaration_change()->add_changes() = planned.change;
            }
            return append(session, record, state);
        });
    }

    ExitCode show(const Words &words)
    {
        return withState([this, &words](LogSession &, const FleetState &state) {
            const std::string table = words.empty() ? "" : words.front();
            if (printState(m_options, m_context, state, table)) {
                return ExitCode::Ok;
            }
            return printError(m_options,
                              m_context,
                              {ResultCode::SettingInvalid, absl::StrCat("there is no table '", table, "'")});
        });
    }

    ExitCode grantKey(const Words &words)
    {
        const std::string customer = words.empty() ? m_options.customer : words.front();
        if (customer.empty()) {
            printError(m_options, m_context, {ResultCode::SettingMissing, "key grant needs a customer"});
            return ExitCode::Usage;
        }
        return withState([this, &customer](LogSession &session, const FleetState &state) {
            const std::string key = KeyPrefix + randomId(KeyBytes);
            proto::LogRecord record = makeRecord();
            record.mutable_key_grant()->set_key_digest(sha256(key));
            record.mutable_key_grant()->set_customer(customer);
            record.mutable_key_grant()->set_label(m_options.label);
            const RecordResult verdict = session.append(record);
            return printKey(key, verdict, state, session.state());
        });
    }

    ExitCode withdrawKey(const Words &words)
    {
        return withState([this, &words](LogSession &session, const FleetState &state) {
            const std::optional<std::string> digest = findKey(state, words.front());
            if (!digest) {
                return printError(m_options,
                                  m_context,
                                  {ResultCode::KeyUnknown, "no key, or more than one, begins like this"});
            }
            proto::LogRecord record = makeRecord();
            record.mutable_key_withdrawal()->set_key_digest(*digest);
            return append(session, record, state);
        });
    }

    ExitCode listKeys(const Words &words)
    {
        return withState([this, &words](LogSession &, const FleetState &state) {
            printKeys(m_options, m_context, state, words.empty() ? "" : words.front());
            return ExitCode::Ok;
        });
    }

    ExitCode setDraining(const std::string &host, bool draining)
    {
        return withState([this, &host, draining](LogSession &session, const FleetState &state) {
            proto::LogRecord record = makeRecord();
            record.mutable_host_drain()->set_host(host);
            record.mutable_host_drain()->set_draining(draining);
            return append(session, record, state);
        });
    }

private:
    // Standard output holds nothing but the key, for scripts. In doubt the key may come to life later:
    // whoever asked for it must be able to withdraw it.
    ExitCode
    printKey(const std::string &key, const RecordResult &verdict, const FleetState &before, const FleetState &after)
    {
        std::ostringstream verdictText;
        CommandContext context{verdictText, m_context.err, m_context.openLog, m_context.clock, m_context.wallTime};
        const ExitCode code = printVerdict(m_options, context, verdict, before, after);
        const bool usable = code == ExitCode::Ok || code == ExitCode::InDoubt;
        if (m_options.json) {
            nlohmann::json json = nlohmann::json::parse(verdictText.str());
            if (usable) {
                json["key"] = key;
            }
            m_context.out << json << "\n";
            return code;
        }
        m_context.err << verdictText.str();
        if (usable) {
            m_context.out << key << "\n";
        }
        return code;
    }

    bool readFiles(const Words &paths)
    {
        m_parsed = readDeclarations(paths);
        nlohmann::json problems = nlohmann::json::array();
        for (const SourceProblem &problem : m_parsed.problems) {
            problems.push_back({{"file", problem.position.file},
                                {"line", problem.position.line},
                                {"column", problem.position.column},
                                {"code", static_cast<int>(problem.error.code)},
                                {"message", problem.error.message}});
            if (!m_options.json) {
                m_context.err << toString(problem) << "\n";
            }
        }
        if (m_options.json && !m_parsed.problems.empty()) {
            m_context.out << nlohmann::json{{"result", "invalid"}, {"problems", problems}} << "\n";
        }
        return m_parsed.problems.empty();
    }

    template <typename Action>
    ExitCode withState(Action action)
    {
        LogSession session(m_context.openLog(), m_options.author, m_options.timeout, m_context.clock);
        return handleErrors(
            [&]() -> Result<ExitCode> {
                BOOST_LEAF_AUTO(state, session.load());
                return action(session, state);
            },
            [this](const Error &error) { return printError(m_options, m_context, error); });
    }

    proto::LogRecord makeRecord() const
    {
        return newRecord(m_options.author, m_context.wallTime());
    }

    ExitCode append(LogSession &session, const proto::LogRecord &record, const FleetState &before)
    {
        const RecordResult verdict = session.append(record);
        return printVerdict(m_options, m_context, verdict, before, session.state());
    }

    // A key is named by itself or by the beginning of its digest in hexadecimal.
    static std::optional<std::string> findKey(const FleetState &state, const std::string &word)
    {
        const std::string digest = sha256(word);
        if (state.key(digest) != nullptr) {
            return digest;
        }
        std::vector<std::string> matches;
        for (const std::string &known : state.tables().keys.sortedKeys()) {
            if (word.size() >= MinDigestPrefix && absl::StartsWith(toHex(known), word)) {
                matches.push_back(known);
            }
        }
        return matches.size() == 1 ? std::optional<std::string>(matches.front()) : std::nullopt;
    }

    const CommandOptions &m_options;
    CommandContext &m_context;
    ParsedDeclarations m_parsed;
};

/// A command, how many arguments it takes, and what it does.
struct Command {
    std::string name;
    std::string arguments;
    std::string help;
    std::size_t least;
    std::size_t most;
    std::function<ExitCode(CommandRunner &, const Words &)> run;
};

constexpr std::size_t AnyNumber = 10'000;

const std::vector<Command> &commands()
{
    static const std::vector<Command> Commands = {
        {"validate",
         "FILE...",
         "check declaration files and name every mistake",
         1,
         AnyNumber,
         [](CommandRunner &runner, const Words &words) { return runner.validate(words); }},
        {"diff",
         "FILE...",
         "show what apply would change",
         1,
         AnyNumber,
         [](CommandRunner &runner, const Words &words) { return runner.diff(words); }},
        {"apply",
         "FILE...",
         "put the declarations in force and wait for the verdict",
         1,
         AnyNumber,
         [](CommandRunner &runner, const Words &words) { return runner.apply(words); }},
        {"show",
         "[TABLE]",
         "show what is in force: routes, pools, customers, hosts, shares, authority",
         0,
         1,
         [](CommandRunner &runner, const Words &words) { return runner.show(words); }},
        {"key grant",
         "CUSTOMER",
         "make a key and print it once",
         0,
         1,
         [](CommandRunner &runner, const Words &words) { return runner.grantKey(words); }},
        {"key withdraw",
         "KEY|DIGEST",
         "end a key for good",
         1,
         1,
         [](CommandRunner &runner, const Words &words) { return runner.withdrawKey(words); }},
        {"key list",
         "[CUSTOMER]",
         "list keys by digest",
         0,
         1,
         [](CommandRunner &runner, const Words &words) { return runner.listKeys(words); }},
        {"drain",
         "HOST",
         "give a host no new work",
         1,
         1,
         [](CommandRunner &runner, const Words &words) { return runner.setDraining(words.front(), true); }},
        {"undrain",
         "HOST",
         "give a drained host work again",
         1,
         1,
         [](CommandRunner &runner, const Words &words) { return runner.setDraining(words.front(), false); }},
    };
    return Commands;
}

ExitCode usage(const CommandOptions &options, CommandContext &context, const std::string &text)
{
    printError(options, context, {ResultCode::SettingInvalid, text});
    return ExitCode::Usage;
}
} // namespace

std::string commandHelp()
{
    std::string help = "Commands:\n";
    for (const Command &command : commands()) {
        const std::string head = absl::StrCat("  ", command.name, " ", command.arguments);
        const std::size_t padding = head.size() < 28 ? 28 - head.size() : 1;
        absl::StrAppend(&help, head, std::string(padding, ' '), command.help, "\n");
    }
    return help;
}

ExitCode runCommand(const CommandOptions &options, CommandContext &context)
{
    for (const Command &command : commands()) {
        const std::size_t nameWords = command.name.find(' ') == std::string::npos ? 1 : 2;
        if (options.words.size() < nameWords) {
            continue;
        }
        const std::string name = nameWords == 1 ? options.words[0] : options.words[0] + " " + options.words[1];
        if (name != command.name) {
            continue;
        }
        const Words arguments(options.words.begin() + static_cast<std::ptrdiff_t>(nameWords), options.words.end());
        if (arguments.size() < command.least || arguments.size() > command.most) {
            return usage(options, context, absl::StrCat("usage: celeryctl ", command.name, " ", command.arguments));
        }
        CommandRunner runner(options, context);
        return command.run(runner, arguments);
    }
    const std::string given = options.words.empty() ? "no command is given"
                                                    : absl::StrCat("unknown command '", options.words[0], "'");
    return usage(options, context, given + "; see celeryctl --help");
}

} // namespace celeryroute
