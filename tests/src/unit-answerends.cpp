#include <celeryroute/detail/gateway/eventsplitter.h>
#include <celeryroute/detail/gateway/targetattempt.h>
#include <celeryroute/detail/http1/messageparser.h>
#include <celeryroute/detail/http1/targetchannels.h>

#include "gatewayworld.h"
#include "scriptedtarget.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;

namespace {

constexpr std::uint64_t InputsInCi = 200'000;

// An independent reading of whole answers: it decides on all bytes at once whether they hold a complete answer.

constexpr std::string_view LineEnd = "\r\n";

std::optional<std::string_view> takeLine(std::string_view &rest)
{
    const std::size_t end = rest.find(LineEnd);
    if (end == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view line = rest.substr(0, end);
    rest.remove_prefix(end + LineEnd.size());
    return line;
}

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) { return std::tolower(c); });
    return lower;
}

/// Body of the complete answer at the begin of the bytes, or nothing.
std::optional<std::string> bodyOfChunks(std::string_view rest)
{
    constexpr int Hexadecimal = 16;
    std::string body;
    while (const auto line = takeLine(rest)) {
        const std::string text(*line);
        char *end = nullptr;
        const unsigned long long size = std::strtoull(text.c_str(), &end, Hexadecimal);
        if (end == text.c_str()) {
            return std::nullopt;
        }
        if (size == 0) {
            for (auto trailer = takeLine(rest); trailer; trailer = takeLine(rest)) {
                if (trailer->empty()) {
                    return body;
                }
            }
            return std::nullopt;
        }
        if (rest.size() < size + LineEnd.size() || rest.substr(size, LineEnd.size()) != LineEnd) {
            return std::nullopt;
        }
        body += rest.substr(0, size);
        rest.remove_prefix(size + LineEnd.size());
    }
    return std::nullopt;
}

std::optional<std::string> completeBody(std::string_view bytes, bool closed)
{
    constexpr std::size_t StatusBegin = 9;
    std::string_view rest = bytes;
    const auto statusLine = takeLine(rest);
    if (!statusLine || statusLine->size() < StatusBegin + 3 || !statusLine->starts_with("HTTP/1.")) {
        return std::nullopt;
    }
    const int status = std::atoi(std::string(statusLine->substr(StatusBegin, 3)).c_str());
    bool chunked = false;
    std::optional<unsigned long long> length;
    std::string fields;
    for (auto line = takeLine(rest); !line || !line->empty(); line = takeLine(rest)) {
        if (!line) {
            return std::nullopt;
        }
        const bool folded = line->front() == ' ' || line->front() == '\t';
        fields += (folded ? "" : "\n") + std::string(*line);
    }
    for (std::size_t begin = fields.find('\n'); begin != std::string::npos; begin = fields.find('\n', begin + 1)) {
        const std::string field = fields.substr(begin + 1, fields.find('\n', begin + 1) - begin - 1);
        const std::size_t colon = std::min(field.find(':'), field.size());
        const std::string name = lowerCase(field.substr(0, colon));
        chunked = chunked || name == "transfer-encoding";
        if (name == "content-length") {
            length = std::strtoull(field.c_str() + std::min(colon + 1, field.size()), nullptr, 10);
        }
    }
    if (status < 200 || status == 204 || status == 304) {
        return std::string();
    }
    if (chunked) {
        return bodyOfChunks(rest);
    }
    if (length) {
        return rest.size() >= *length ? std::optional(std::string(rest.substr(0, *length))) : std::nullopt;
    }
    return closed ? std::optional(std::string(rest)) : std::nullopt;
}

bool endsWithEvent(const std::string &body)
{
    return body.empty() || body == "\n" || body == LineEnd || body.ends_with("\n\n") || body.ends_with("\n\r\n");
}

enum class Ending {
    Open, ///< Nothing more came.
    Close,
    Reset,
};

/// One answer, what a target left of it, and how its connection ended.
struct Input {
    std::string whole;
    std::string sent;
    Ending ending = Ending::Open;
    bool isWhole = false; ///< The answer was sent as it was made, and ended.
};

class InputMaker
{
public:
    explicit InputMaker(std::uint64_t seed)
        : m_random(seed)
    {}

    std::uint32_t below(std::uint32_t bound)
    {
        return static_cast<std::uint32_t>(m_random() % bound);
    }

    Input make()
    {
        Input input;
        input.whole = answer();
        input.sent = input.whole;
        input.ending = static_cast<Ending>(below(3));
        input.isWhole = true;
        if (below(4) != 0) {
            input.sent.resize(below(static_cast<std::uint32_t>(input.sent.size()) + 1));
            input.isWhole = false;
        }
        if (below(3) == 0) {
            garble(input.sent);
            input.isWhole = false;
        }
        return input;
    }

private:
    std::string answer()
    {
        static const char *const Heads[] = {"HTTP/1.1 200 OK\r\n",
                                            "HTTP/1.1 200 \r\nX-A: b\r\n",
                                            "HTTP/1.1 503 Full\r\n",
                                            "HTTP/1.0 200 OK\r\n",
                                            "HTTP/1.1 204 None\r\n",
                                            "HTTP/1.1 100 Continue\r\n"};
        std::string text = Heads[below(std::size(Heads))];
        const std::string body = events();
        switch (below(3)) {
        case 0:
            return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        case 1:
            return text + "Transfer-Encoding: chunked\r\n\r\n" + chunks(body);
        default:
            return text + "\r\n" + body;
        }
    }

    std::string events()
    {
        std::string text;
        for (std::uint32_t count = below(4); count > 0; --count) {
            text += "id: " + std::to_string(count) + (below(4) == 0 ? "\r\n" : "\n")
                + "data: " + std::string(below(20), 'x') + (below(4) == 0 ? "\r\n\r\n" : "\n\n");
        }
        return below(4) == 0 ? text + "data: cut" : text;
    }

    std::string chunks(const std::string &body)
    {
        constexpr char Digits[] = "0123456789abcdef";
        std::string text;
        for (std::size_t at = 0; at < body.size();) {
            const std::size_t size = std::min<std::size_t>(1 + below(15), body.size() - at);
            text += std::string(below(6) == 0 ? "0" : "") + Digits[size] + (below(5) == 0 ? ";a=b" : "") + "\r\n"
                + body.substr(at, size) + "\r\n";
            at += size;
        }
        return text + "0\r\n" + (below(4) == 0 ? "X-Sum: 1\r\n" : "") + "\r\n";
    }

    void garble(std::string &text)
    {
        static const char *const Parts[] = {"\r",
                                            "\n",
                                            "\r\n",
                                            "0",
                                            "f",
                                            ":",
                                            " ",
                                            ";",
                                            "0\r\n\r\n",
                                            "\r\n\r\n",
                                            "Content-Length: 3\r\n",
                                            "Transfer-Encoding: chunked\r\n"};
        for (std::uint32_t count = 1 + below(3); count > 0 && !text.empty(); --count) {
            const std::size_t at = below(static_cast<std::uint32_t>(text.size()));
            switch (below(4)) {
            case 0:
                text[at] = static_cast<char>(m_random());
                break;
            case 1:
                text.erase(at, 1 + below(3));
                break;
            case 2:
                text.insert(at, Parts[below(std::size(Parts))]);
                break;
            default:
                text.insert(at, text.substr(below(static_cast<std::uint32_t>(text.size())), 1 + below(8)));
                break;
            }
        }
    }

    std::mt19937_64 m_random;
};

/// What the code under test makes of an input.
struct Outcome {
    bool complete = false;
    std::string body;
    TargetAnswer answer;
};

Outcome readAsConnectionsDo(const Input &input, InputMaker &splits)
{
    MessageParser parser(MessageKind::Answer, MessageLimits{});
    EventSplitter splitter("x-version");
    Outcome outcome;
    outcome.answer.isEventStream = true;
    std::string buffer;
    const auto takeBody = [&] {
        outcome.body += parser.body();
        outcome.answer.body += parser.body();
        parser.body().clear();
        splitter.takeCompleteEvents(outcome.answer.body, outcome.answer.searchedBytes);
        outcome.answer.searchedBytes = outcome.answer.body.size();
    };
    const bool inOnePart = splits.below(2) == 0;
    for (std::size_t at = 0; at < input.sent.size();) {
        const std::size_t step = inOnePart ? input.sent.size() : 1 + splits.below(9);
        buffer += input.sent.substr(at, step);
        at += step;
        for (std::size_t consumed = 1; consumed > 0 && !buffer.empty();) {
            consumed = parser.feed(buffer);
            buffer.erase(0, consumed);
        }
        takeBody();
    }
    const bool headRead = parser.state() != ParseState::Head;
    if (input.ending == Ending::Close && parser.state() == ParseState::Body) {
        parser.feedEnd();
        takeBody();
    }
    outcome.complete = parser.state() == ParseState::Complete;
    outcome.answer.hasEvents = splitter.eventCount() > 0;
    if (headRead) {
        outcome.answer.head = parser.head();
    }
    return outcome;
}

class TakenAnswer final : public ExchangeUser
{
public:
    std::string body;
    bool complete = false;
    std::optional<ExchangeFailure> failure;

private:
    void exchangeHead(MessageHead) override {}
    void exchangeBody(std::string &bytes) override
    {
        body += bytes;
        bytes.clear();
    }
    void exchangeComplete() override
    {
        complete = true;
    }
    void exchangeFailed(ExchangeFailure reason) override
    {
        failure = reason;
    }
};

std::uint64_t inputCount()
{
    const char *setting = std::getenv("CELERYROUTE_INPUTS");
    return setting == nullptr ? InputsInCi : std::strtoull(setting, nullptr, 10);
}

} // namespace

TEST_GROUP(AnswerEnds){};

TEST(AnswerEnds, answersCutOrGarbledAnywhere_areCompleteOnlyWhenAllOfThemCame)
{
    std::uint64_t complete = 0;
    const std::uint64_t inputs = inputCount();
    for (std::uint64_t seed = 1; seed <= inputs; ++seed) {
        InputMaker maker(seed);
        const Input input = maker.make();
        const Outcome outcome = readAsConnectionsDo(input, maker);
        const auto expected = completeBody(input.sent, input.ending == Ending::Close);
        const std::string name = "seed " + std::to_string(seed) + "\n" + input.sent;
        if (outcome.complete) {
            ++complete;
            CHECK_TRUE_TEXT(expected.has_value(), name.c_str());
            CHECK_TRUE_TEXT(*expected == outcome.body, name.c_str());
            const bool wholeEvents = endsWithEvent(outcome.body);
            CHECK_TRUE_TEXT(wholeEvents == outcome.answer.body.empty(), name.c_str());
            CHECK_TRUE_TEXT(wholeEvents || outcome.answer.brokeOffInOrder(), name.c_str());
        }
        if (input.isWhole && expected && !input.sent.starts_with("HTTP/1.0")) {
            CHECK_TRUE_TEXT(outcome.complete, name.c_str());
        }
    }
    CHECK(complete > inputs / 10);
    CHECK(complete < inputs - inputs / 10);
}

TEST(AnswerEnds, connectionsThatEndAnywhere_completeNoAnswerThatIsNotWhole)
{
    constexpr std::uint64_t Connections = 3'000;
    constexpr std::size_t StatusClass = 9; // Place of the status code's first digit.
    EventLoop loop;
    TargetChannels channels{loop, {"X-Request-Id"}};
    auto target = std::make_unique<ScriptedTarget>(loop);
    std::uint64_t complete = 0;
    for (std::uint64_t seed = 1; seed <= Connections; ++seed) {
        InputMaker maker(seed);
        const Input input = maker.make();
        TakenAnswer taken;
        TargetRequest request;
        request.head = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
        request.single = true;
        TargetConnection &connection = channels.start(target->endpoint(), request, taken);
        bool sent = false;
        target->onRequest([&](const ScriptedTarget::Request &received) {
            target->send(received.channel, input.sent);
            if (input.ending == Ending::Close) {
                target->close(received.channel);
            } else if (input.ending == Ending::Reset) {
                settle(loop); // A reset discards data that the peer has not read yet.
                target->reset(received.channel);
            }
            sent = true;
        });
        CHECK(turnUntil(loop, [&] { return sent; }));
        settle(loop);
        const bool over = taken.complete || taken.failure;
        const std::string name = "seed " + std::to_string(seed) + "\n" + input.sent;
        CHECK_TRUE_TEXT(over || input.ending == Ending::Open, name.c_str());
        if (!over) {
            connection.abandon();
        }
        if (taken.complete) {
            ++complete;
            const auto expected = completeBody(input.sent, input.ending == Ending::Close);
            CHECK_TRUE_TEXT(expected && *expected == taken.body && input.sent[StatusClass] != '1', name.c_str());
        }
    }
    CHECK(complete > Connections / 10);
    settle(loop);
    CHECK_EQUAL(0U, channels.size());
}
