#include <celeryroute/detail/base/digest.h>
#include <celeryroute/detail/cli/commandoutput.h>
#include <celeryroute/detail/cli/itemtext.h>

#include <nlohmann/json.hpp>

namespace celeryroute {

namespace {
using Json = nlohmann::json;

constexpr std::size_t ShownDigestLength = 16;

Json toJson(const Error &error)
{
    return {{"code", static_cast<int>(error.code)},
            {"name", resultCodeInfo(error.code).name},
            {"message", error.message}};
}

ExitCode exitCodeOf(const Error &error)
{
    switch (error.code) {
    case ResultCode::LogUnavailable:
    case ResultCode::StateUnavailable:
    case ResultCode::PlatformUnavailable:
        return ExitCode::Unreachable;
    case ResultCode::LogAppendInDoubt:
        return ExitCode::InDoubt;
    case ResultCode::SettingInvalid:
    case ResultCode::SettingUnknown:
        return ExitCode::Usage;
    default:
        return ExitCode::Refused;
    }
}

template <typename Spec>
Json tableJson(const std::map<std::string, Versioned<Spec>> &table)
{
    Json json = Json::object();
    for (const auto &[name, item] : table) {
        json[name] = {{"revision", item.revision}, {"fields", fieldsOf(item.value)}};
    }
    return json;
}

Json authorityJson(const FleetState &state)
{
    Json json = Json::object();
    for (const std::string &key : state.authorities().sortedKeys()) {
        const Authority &authority = *state.authorities().find(key);
        Json holders = Json::array();
        for (const AuthorityHolder &holder : authority.holders) {
            holders.push_back({{"host", holder.host},
                               {"incarnation", holder.incarnation},
                               {"fencing", holder.fencing},
                               {"revoked", holder.revoked}});
        }
        json[key] = {{"revision", authority.revision}, {"fields", {{"holders", holders}}}};
    }
    return json;
}

Json hostsJson(const FleetState &state)
{
    Json json = Json::object();
    for (const std::string &host : state.tables().drains.sortedKeys()) {
        json[host] = {{"revision", state.tables().drains.find(host)->revision}, {"fields", {{"draining", "true"}}}};
    }
    return json;
}

Json sharesJson(const FleetState &state)
{
    Json json = Json::object();
    for (const auto &[incarnation, fraction] : state.shares().fractions) {
        json[incarnation] = {{"revision", state.shares().epoch}, {"fields", {{"fraction", fraction}}}};
    }
    return json;
}

Json stateJson(const FleetState &state)
{
    return {{"routes", tableJson(state.routes())},
            {"pools", tableJson(state.pools())},
            {"customers", tableJson(state.customers())},
            {"hosts", hostsJson(state)},
            {"shares", sharesJson(state)},
            {"authority", authorityJson(state)}};
}

void printTable(std::ostream &out, const std::string &name, const Json &table)
{
    out << name << ":\n";
    for (const auto &[item, content] : table.items()) {
        out << "  " << item << " (revision " << content["revision"] << ")\n";
        for (const auto &[field, value] : content["fields"].items()) {
            out << "    " << field << ": " << (value.is_string() ? value.get<std::string>() : value.dump()) << "\n";
        }
    }
}

// What stands in the state now against what the change was made from.
std::vector<std::string> changedMeanwhile(const std::string &subject, const FleetState &before, const FleetState &after)
{
    return differences(fieldsOfSubject(before, subject), fieldsOfSubject(after, subject));
}

void printRefusals(const CommandOptions &options,
                   CommandContext &context,
                   const RecordResult &verdict,
                   const FleetState &before,
                   const FleetState &after)
{
    Json refusals = Json::array();
    for (const Refusal &refusal : verdict.refusals) {
        const std::vector<std::string> meanwhile = changedMeanwhile(refusal.subject, before, after);
        refusals.push_back({{"subject", refusal.subject},
                            {"error", toJson(refusal.error)},
                            {"revision", refusal.current},
                            {"changed_meanwhile", meanwhile}});
        if (!options.json) {
            context.err << toString(refusal.error) << "\n";
            for (const std::string &line : meanwhile) {
                context.err << "  changed meanwhile: " << refusal.subject << " " << line << "\n";
            }
        }
    }
    if (options.json) {
        context.out << Json{{"result", "refused"}, {"offset", verdict.offset}, {"refusals", refusals}} << "\n";
    }
}
} // namespace

ExitCode printError(const CommandOptions &options, CommandContext &context, const Error &error)
{
    if (options.json) {
        context.out << Json{{"result", "error"}, {"error", toJson(error)}} << "\n";
    } else {
        context.err << toString(error) << "\n";
    }
    return exitCodeOf(error);
}

void printPlan(const CommandOptions &options, CommandContext &context, const std::vector<PlannedChange> &plan)
{
    Json changes = Json::array();
    for (const PlannedChange &planned : plan) {
        changes.push_back(
            {{"action", planned.action}, {"subject", planned.subject}, {"differences", planned.differences}});
        if (!options.json) {
            context.out << planned.action << " " << planned.subject << "\n";
            for (const std::string &line : planned.differences) {
                context.out << "  " << line << "\n";
            }
        }
    }
    if (options.json) {
        context.out << Json{{"changes", changes}} << "\n";
    } else if (plan.empty()) {
        context.out << "nothing to change\n";
    }
}

ExitCode printVerdict(const CommandOptions &options,
                      CommandContext &context,
                      const RecordResult &verdict,
                      const FleetState &before,
                      const FleetState &after)
{
    switch (verdict.status) {
    case RecordStatus::Accepted:
        if (options.json) {
            context.out << Json{{"result", "accepted"}, {"offset", verdict.offset}} << "\n";
        } else {
            context.out << "accepted at offset " << verdict.offset << "\n";
        }
        return ExitCode::Ok;
    case RecordStatus::PartlyAccepted:
    case RecordStatus::Refused:
        printRefusals(options, context, verdict, before, after);
        return ExitCode::Refused;
    case RecordStatus::NotAppended:
        return printError(options, context, verdict.error);
    case RecordStatus::Recorded:
    case RecordStatus::Unsettled:
        break;
    }
    const std::string text =
        "it is not known whether the change takes effect; see `celeryctl show` when the log answers";
    return printError(options, context, {ResultCode::LogAppendInDoubt, text});
}

bool printState(const CommandOptions &options,
                CommandContext &context,
                const FleetState &state,
                const std::string &table)
{
    Json json = stateJson(state);
    if (!table.empty() && !json.contains(table)) {
        return false;
    }
    if (!table.empty()) {
        json = Json{{table, json[table]}};
    }
    if (options.json) {
        json["next_offset"] = state.nextOffset();
        context.out << json << "\n";
        return true;
    }
    context.out << "next offset: " << state.nextOffset() << "\n";
    for (const auto &[name, items] : json.items()) {
        printTable(context.out, name, items);
    }
    return true;
}

void printKeys(const CommandOptions &options,
               CommandContext &context,
               const FleetState &state,
               const std::string &customer)
{
    Json keys = Json::array();
    for (const std::string &digest : state.tables().keys.sortedKeys()) {
        const Versioned<KeyEntry> &key = *state.key(digest);
        if (!customer.empty() && key.value.customer != customer) {
            continue;
        }
        keys.push_back({{"digest", toHex(digest)},
                        {"customer", key.value.customer},
                        {"label", key.value.label},
                        {"withdrawn", key.value.withdrawn}});
        if (!options.json) {
            context.out << toHex(digest).substr(0, ShownDigestLength) << " " << key.value.customer << " "
                        << (key.value.withdrawn ? "withdrawn" : "active") << " " << key.value.label << "\n";
        }
    }
    if (options.json) {
        context.out << Json{{"keys", keys}} << "\n";
    }
}

} // namespace celeryroute
