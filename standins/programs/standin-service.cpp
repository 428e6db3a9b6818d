#include <standins/plainservice.h>
#include <standins/standinprogram.h>

using namespace celeryroute;

int main(int argc, char **argv)
{
    Duration delay = Duration::zero();
    std::unique_ptr<PlainService> service;
    StandinProgram program;
    program.name = "standin-service";
    program.settings = {{"delay-ms", "N", "0", "time from the effect to the answer"}};
    program.read = [&](SettingReader &reader) { delay = reader.milliseconds("delay-ms", 0, 3'600'000); };
    program.makeHandler = [&](Timer &timer) {
        service = std::make_unique<PlainService>(delay, timer);
        return [&](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
            service->handle(request, responder);
        };
    };
    return runStandin(program, argc, argv);
}
