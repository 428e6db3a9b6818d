#include <standins/faults.h>

#include <nlohmann/json.hpp>

namespace celeryroute {

Result<Faults> parseFaults(const std::string &body, const Faults &present)
{
    try {
        const nlohmann::json json = nlohmann::json::parse(body);
        Faults faults = present;
        faults.down = json.value("down", present.down);
        faults.delay = std::chrono::milliseconds(json.value("delay_ms", toMilliseconds(present.delay)));
        faults.dropAnswers = json.value("drop_answers", present.dropAnswers);
        faults.silent = json.value("silent", present.silent);
        faults.crashAfterEffect = json.value("crash_after_effect", present.crashAfterEffect);
        return faults;
    } catch (const nlohmann::json::exception &exception) {
        return fail(ResultCode::RequestMalformed, exception.what());
    }
}

} // namespace celeryroute
