#include <celeryroute/detail/cli/explaincommand.h>

#include <celeryroute/detail/cli/explaintext.h>
#include <celeryroute/detail/telemetry/jsontext.h>

#include <fstream>
#include <iostream>

namespace celeryroute {

namespace {

bool readFile(ExplainLog &log, const std::string &name)
{
    if (name == "-") {
        log.read(std::cin);
        return true;
    }
    std::ifstream file(name);
    if (!file) {
        return false;
    }
    log.read(file);
    return !file.bad();
}

// What is not read must not pass for silence.
bool readFiles(ExplainLog &log, const std::vector<std::string> &names, std::ostream &err)
{
    bool complete = true;
    for (const std::string &name : names) {
        if (!readFile(log, name)) {
            err << name << " cannot be read\n";
            complete = false;
        }
    }
    if (log.skippedCount() > 0) {
        err << log.skippedCount() << " of " << log.lineCount() << " lines are not of this format and were left out\n";
    }
    return complete;
}

// The id as a line holds it.
std::string loggedId(const std::string &id)
{
    std::string text;
    appendJsonText(text, id);
    return nlohmann::json::parse(text).get<std::string>();
}

} // namespace

ExitCode runExplain(const ExplainOptions &options, std::ostream &out, std::ostream &err)
{
    ExplainLog log;
    const bool complete = readFiles(log, options.files, err);
    const std::vector<ExplainProcess> processes = log.takeProcesses();
    const std::string request = loggedId(options.request);
    const std::vector<SelectedLine> selected = selectLines(processes, request);
    if (selected.empty()) {
        err << "no line is about request " << request << "\n";
        return ExitCode::Refused;
    }
    const Story story = orderLines(processes, selected);
    out << (options.json ? storyJsonLines(processes, story) : storyText(processes, story, request));
    return complete ? ExitCode::Ok : ExitCode::Refused;
}

} // namespace celeryroute
