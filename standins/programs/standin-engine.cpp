#include <standins/engineservice.h>
#include <standins/standinprogram.h>

using namespace celeryroute;

namespace {

std::vector<SettingSpec> engineSettingSpecs()
{
    return {{"memory-mb", "N", "80000", "memory for models and adapters"},
            {"ignore-fencing", "", "", "take orders with an old fencing number"},
            {"tokens-per-second", "N", "200", "pace of each request"},
            {"first-token-ms", "N", "20", "time to the first token without a cached prefix"},
            {"max-concurrent", "N", "64", "requests run at once"},
            {"weights-url", "URL", "", "the weight store; without it loads take no time"},
            {"crash-marker", "TEXT", "", "a request that holds this text ends the process"},
            {"report-lag-ms", "N", "500", "age of the load report"},
            {"cache-prefixes", "N", "256", "prompt prefixes that are cached"}};
}

EngineSettings readSettings(SettingReader &reader)
{
    EngineSettings settings;
    settings.memoryMb = static_cast<std::uint64_t>(reader.integer("memory-mb", 1, 100'000'000));
    settings.ignoreFencing = reader.flag("ignore-fencing");
    settings.tokensPerSecond = reader.number("tokens-per-second", 0.001, 1e9);
    settings.firstToken = reader.milliseconds("first-token-ms", 0, 3'600'000);
    settings.maxConcurrent = static_cast<unsigned>(reader.integer("max-concurrent", 1, 1'000'000));
    settings.weightsUrl = reader.url("weights-url", false);
    settings.crashMarker = reader.text("crash-marker");
    settings.reportLag = reader.milliseconds("report-lag-ms", 1, 3'600'000);
    settings.cachePrefixes = static_cast<unsigned>(reader.integer("cache-prefixes", 1, 1'000'000));
    return settings;
}

} // namespace

int main(int argc, char **argv)
{
    EngineSettings settings;
    std::unique_ptr<EngineService> service;
    StandinProgram program;
    program.name = "standin-engine";
    program.settings = engineSettingSpecs();
    program.read = [&](SettingReader &reader) { settings = readSettings(reader); };
    program.makeHandler = [&](Timer &timer) {
        service = std::make_unique<EngineService>(settings, timer);
        return [&](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
            service->handle(request, responder);
        };
    };
    return runStandin(program, argc, argv);
}
