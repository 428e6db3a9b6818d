#include <standins/generation.h>

#include <celeryroute/detail/base/digest.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace celeryroute {

namespace {

using Json = nlohmann::json;

constexpr unsigned DefaultMaxTokens = 16;
constexpr unsigned MostTokens = 8192;
constexpr std::size_t BytesPerToken = 4;
constexpr std::size_t DigestBytes = 8;

std::string messageText(const Json &content)
{
    return content.is_string() ? content.get<std::string>() : content.dump();
}

Json usage(const GenerationRequest &request)
{
    const std::uint64_t prompt = promptTokens(request.prompt);
    return {{"prompt_tokens", prompt},
            {"completion_tokens", request.maxTokens},
            {"total_tokens", prompt + request.maxTokens}};
}

Json event(const GenerationRequest &request, const std::string &requestId, const Json &delta, const Json &finishReason)
{
    return {{"id", requestId},
            {"object", "chat.completion.chunk"},
            {"created", 0},
            {"model", request.model},
            {"choices", Json::array({{{"index", 0}, {"delta", delta}, {"finish_reason", finishReason}}})}};
}

std::string frame(const std::string &data)
{
    return absl::StrCat("data: ", data, "\n\n");
}

} // namespace

Result<GenerationRequest> parseGenerationRequest(const std::string &body)
{
    try {
        const Json json = Json::parse(body);
        GenerationRequest request;
        request.model = json.at("model").get<std::string>();
        std::vector<std::string> contents;
        for (const Json &message : json.at("messages")) {
            contents.push_back(messageText(message.at("content")));
        }
        request.prompt = absl::StrJoin(contents, "\n");
        const unsigned limit = json.value("max_tokens", DefaultMaxTokens);
        request.maxTokens = std::clamp(json.value("max_completion_tokens", limit), 1U, MostTokens);
        request.stream = json.value("stream", false);
        return request;
    } catch (const Json::exception &exception) {
        return fail(ResultCode::RequestMalformed, exception.what());
    }
}

std::vector<std::string> generateTokens(const GenerationRequest &request)
{
    std::vector<std::string> tokens;
    tokens.reserve(request.maxTokens);
    tokens.push_back(toHex(sha256(std::vector<std::string>{request.model, request.prompt}).substr(0, DigestBytes)));
    for (unsigned i = 1; i < request.maxTokens; ++i) {
        tokens.push_back(absl::StrCat(" w", i));
    }
    return tokens;
}

std::string expectedAnswer(const std::string &model, const std::string &prompt, unsigned maxTokens)
{
    return absl::StrJoin(generateTokens(GenerationRequest{model, prompt, maxTokens, false}), "");
}

std::uint64_t promptTokens(const std::string &prompt)
{
    return prompt.size() / BytesPerToken + 1;
}

std::string wholeAnswer(const GenerationRequest &request, const std::string &requestId)
{
    const Json message = {{"role", "assistant"}, {"content", absl::StrJoin(generateTokens(request), "")}};
    const Json choice = {{"index", 0}, {"message", message}, {"finish_reason", "length"}};
    const Json body = {{"id", requestId},
                       {"object", "chat.completion"},
                       {"created", 0},
                       {"model", request.model},
                       {"choices", Json::array({choice})},
                       {"usage", usage(request)}};
    return body.dump();
}

std::vector<std::string> streamEvents(const GenerationRequest &request, const std::string &requestId)
{
    std::vector<std::string> events;
    for (const std::string &token : generateTokens(request)) {
        events.push_back(frame(event(request, requestId, {{"content", token}}, nullptr).dump()));
    }
    Json last = event(request, requestId, Json::object(), "length");
    last["usage"] = usage(request);
    events.push_back(frame(last.dump()));
    events.push_back(frame("[DONE]"));
    return events;
}

} // namespace celeryroute
