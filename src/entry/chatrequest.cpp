#include <celeryroute/detail/entry/chatrequest.h>

#include <limits>
#include <nlohmann/json.hpp>
#include <optional>

namespace celeryroute {

namespace {

using Json = nlohmann::json;

constexpr std::size_t BytesPerToken = 4;
constexpr std::int64_t MostTokens = 1'000'000;

// Number of text bytes of one message; its content is a string or a list of parts with "text".
std::optional<std::size_t> contentBytes(const Json &message)
{
    if (!message.is_object() || !message.contains("role") || !message["role"].is_string()) {
        return std::nullopt;
    }
    const Json content = message.value("content", Json());
    if (content.is_null()) {
        return 0;
    }
    if (content.is_string()) {
        return content.get_ref<const std::string &>().size();
    }
    if (!content.is_array()) {
        return std::nullopt;
    }
    std::size_t bytes = 0;
    for (const Json &part : content) {
        if (!part.is_object()) {
            return std::nullopt;
        }
        const auto text = part.find("text");
        if (text != part.end() && text->is_string()) {
            bytes += text->get_ref<const std::string &>().size();
        }
    }
    return bytes;
}

Result<std::uint32_t> readMaxTokens(const Json &body)
{
    for (const char *name : {"max_completion_tokens", "max_tokens"}) {
        const auto found = body.find(name);
        if (found == body.end() || found->is_null()) {
            continue;
        }
        if (!found->is_number_integer() || found->get<std::int64_t>() < 1 || found->get<std::int64_t>() > MostTokens) {
            return fail(ResultCode::RequestMalformed,
                        std::string("'") + name + "' is not a whole number from 1 to 1000000");
        }
        return static_cast<std::uint32_t>(found->get<std::int64_t>());
    }
    return DefaultMaxTokens;
}

Result<std::uint32_t> readPromptTokens(const Json &body)
{
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty()) {
        return fail(ResultCode::RequestMalformed, "'messages' is not a list with at least one message");
    }
    std::size_t bytes = 0;
    for (const Json &message : *messages) {
        const auto part = contentBytes(message);
        if (!part) {
            return fail(ResultCode::RequestMalformed, "a message has no 'role' or a 'content' of the wrong type");
        }
        bytes += *part;
    }
    return static_cast<std::uint32_t>((bytes + BytesPerToken - 1) / BytesPerToken);
}

Result<ChatRequest> readChat(const Json &body)
{
    if (!body.is_object()) {
        return fail(ResultCode::RequestMalformed, "the body is not a JSON object");
    }
    const auto model = body.find("model");
    if (model == body.end() || !model->is_string() || model->get_ref<const std::string &>().empty()) {
        return fail(ResultCode::RequestMalformed, "'model' is not a name");
    }
    const auto stream = body.find("stream");
    if (stream != body.end() && !stream->is_boolean() && !stream->is_null()) {
        return fail(ResultCode::RequestMalformed, "'stream' is neither true nor false");
    }
    BOOST_LEAF_AUTO(promptTokens, readPromptTokens(body));
    BOOST_LEAF_AUTO(maxTokens, readMaxTokens(body));
    ChatRequest request;
    request.model = model->get<std::string>();
    request.stream = stream != body.end() && stream->is_boolean() && stream->get<bool>();
    request.promptTokens = promptTokens;
    request.maxTokens = maxTokens;
    return request;
}

} // namespace

std::uint32_t estimateTokens(const std::string &text)
{
    return static_cast<std::uint32_t>((text.size() + BytesPerToken - 1) / BytesPerToken);
}

Result<ChatRequest> parseChatRequest(const std::string &body)
{
    return readChat(Json::parse(body, nullptr, false));
}

} // namespace celeryroute
