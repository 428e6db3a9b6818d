#include <standins/logservice.h>
#include <standins/standinprogram.h>

using namespace celeryroute;

int main(int argc, char **argv)
{
    std::int64_t retention = 0;
    double appendsPerSecond = 0;
    std::unique_ptr<LogService> service;
    StandinProgram program;
    program.name = "standin-log";
    program.settings = {{"retention-records", "N", "1000000", "records kept; older ones are forgotten"},
                        {"appends-per-second", "N", "400", "appends taken in a second"}};
    program.read = [&](SettingReader &reader) {
        retention = reader.integer("retention-records", 1, 100'000'000);
        appendsPerSecond = reader.number("appends-per-second", 0.1, 1e6);
    };
    program.makeHandler = [&](Timer &timer) {
        service = std::make_unique<LogService>(RecordLog(static_cast<std::size_t>(retention), appendsPerSecond), timer);
        return [&](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
            service->handle(request, responder);
        };
    };
    return runStandin(program, argc, argv);
}
