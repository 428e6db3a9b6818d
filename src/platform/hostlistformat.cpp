#include <celeryroute/detail/platform/hostlistformat.h>

#include <absl/strings/str_cat.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace celeryroute {

namespace {

using Json = nlohmann::json;

Json toJson(const HostEntry &entry)
{
    return Json{{"host", entry.host},
                {"address", entry.address},
                {"domain", entry.domain},
                {"role", entry.role == HostRole::Entry ? "entry" : "agent"},
                {"pool", entry.pool},
                {"state", entry.state == HostState::Live ? "live" : "leaving"}};
}

Result<HostRole> parseRole(const std::string &text)
{
    if (text == "entry") {
        return HostRole::Entry;
    }
    if (text == "agent") {
        return HostRole::Agent;
    }
    return fail(ResultCode::MessageMalformed, absl::StrCat("unknown role '", text, "'"));
}

Result<HostState> parseState(const std::string &text)
{
    if (text == "live") {
        return HostState::Live;
    }
    if (text == "leaving") {
        return HostState::Leaving;
    }
    return fail(ResultCode::MessageMalformed, absl::StrCat("unknown state '", text, "'"));
}

Result<HostEntry> fromJson(const Json &json)
{
    HostEntry entry;
    std::string role;
    std::string state;
    try {
        entry.host = json.at("host").get<std::string>();
        entry.address = json.at("address").get<std::string>();
        entry.domain = json.at("domain").get<std::string>();
        role = json.at("role").get<std::string>();
        entry.pool = json.value("pool", "");
        state = json.value("state", "live");
    } catch (const Json::exception &exception) {
        return fail(ResultCode::MessageMalformed, exception.what());
    }
    BOOST_LEAF_ASSIGN(entry.role, parseRole(role));
    BOOST_LEAF_ASSIGN(entry.state, parseState(state));
    return entry;
}

} // namespace

std::string encodeHostList(const std::vector<HostEntry> &entries)
{
    Json hosts = Json::array();
    for (const HostEntry &entry : entries) {
        hosts.push_back(toJson(entry));
    }
    return Json{{"hosts", std::move(hosts)}}.dump();
}

Result<std::vector<HostEntry>> decodeHostList(const std::string &text)
{
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("hosts") || !json["hosts"].is_array()) {
        return fail(ResultCode::MessageMalformed, "the host list has no array 'hosts'");
    }
    std::vector<HostEntry> entries;
    for (const Json &host : json["hosts"]) {
        BOOST_LEAF_AUTO(entry, fromJson(host));
        entries.push_back(std::move(entry));
    }
    return entries;
}

std::string encodeHostEntry(const HostEntry &entry)
{
    return toJson(entry).dump();
}

Result<HostEntry> decodeHostEntry(const std::string &text)
{
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object()) {
        return fail(ResultCode::MessageMalformed, "a host is a JSON object");
    }
    return fromJson(json);
}

} // namespace celeryroute
