#include <standins/hostservice.h>
#include <standins/standinprogram.h>

using namespace celeryroute;

int main(int argc, char **argv)
{
    Duration lag = Duration::zero();
    std::unique_ptr<HostService> service;
    StandinProgram program;
    program.name = "standin-hosts";
    program.settings = {{"lag-ms", "N", "500", "milliseconds until a change becomes visible"}};
    program.read = [&](SettingReader &reader) { lag = reader.milliseconds("lag-ms", 0, 3'600'000); };
    program.makeHandler = [&](Timer & /*timer*/) {
        service = std::make_unique<HostService>(HostTable(lag));
        return [&](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
            service->handle(request, responder);
        };
    };
    return runStandin(program, argc, argv);
}
