#include <standins/standinprogram.h>
#include <standins/weightservice.h>

using namespace celeryroute;

int main(int argc, char **argv)
{
    StoreSettings settings;
    std::unique_ptr<WeightService> service;
    StandinProgram program;
    program.name = "standin-weights";
    program.settings = {{"loads-per-second", "N", "4", "model loads started in a second"},
                        {"parallel-loads", "N", "4", "model loads at once at full speed"},
                        {"adapters-in-flight", "N", "30", "adapter loads at once at full speed"},
                        {"adapter-ms", "N", "7", "time of one adapter load at full speed"},
                        {"mb-per-second", "N", "8000", "speed of one model load"}};
    program.read = [&](SettingReader &reader) {
        settings.loadsPerSecond = reader.number("loads-per-second", 0.001, 1e6);
        settings.parallelLoads = static_cast<unsigned>(reader.integer("parallel-loads", 1, 100'000));
        settings.adaptersInFlight = static_cast<unsigned>(reader.integer("adapters-in-flight", 1, 100'000));
        settings.adapterTime = reader.milliseconds("adapter-ms", 0, 3'600'000);
        settings.megabytesPerSecond = reader.number("mb-per-second", 0.001, 1e12);
    };
    program.makeHandler = [&](Timer &timer) {
        service = std::make_unique<WeightService>(settings, timer);
        return [&](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
            service->handle(request, responder);
        };
    };
    return runStandin(program, argc, argv);
}
