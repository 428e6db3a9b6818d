#include <celeryroute/detail/cli/explaintext.h>

#include <celeryroute/detail/telemetry/reasonnames.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>
#include <absl/time/time.h>

#include <algorithm>

namespace celeryroute {

namespace {

class StoryWriter
{
public:
    StoryWriter(const std::vector<ExplainProcess> &processes, const Story &story)
        : m_processes(processes)
        , m_story(story)
    {
        for (const StoryLine &entry : story.lines) {
            m_hostWidth = std::max(m_hostWidth, process(entry).host.size());
            m_roleWidth = std::max(m_roleWidth, process(entry).role.size());
            m_eventWidth = std::max(m_eventWidth, line(entry).event.size());
        }
    }

    std::string table(const std::string &request)
    {
        writeHead(request);
        for (std::size_t place = 0; place < m_story.lines.size(); ++place) {
            writeLine(place);
        }
        writeEnd();
        return std::move(m_text);
    }

    std::string jsonLines()
    {
        for (std::size_t place = 0; place < m_story.lines.size(); ++place) {
            const StoryLine &entry = m_story.lines[place];
            const ExplainLine &shown = line(entry);
            nlohmann::ordered_json json = {{"place", place + 1},
                                           {"t", shown.wallMs},
                                           {"m", shown.bootMs},
                                           {"host", process(entry).host},
                                           {"role", process(entry).role},
                                           {"inc", process(entry).incarnation},
                                           {"event", shown.event}};
            if (!shown.request.empty()) {
                json["request"] = shown.request;
            }
            json.update(shown.fields);
            json["after"] = places(entry);
            absl::StrAppend(&m_text, json.dump(), "\n");
        }
        return std::move(m_text);
    }

private:
    const ExplainProcess &process(const StoryLine &entry) const
    {
        return m_processes[entry.selected.process];
    }
    const ExplainLine &line(const StoryLine &entry) const
    {
        return process(entry).lines[entry.selected.line];
    }
    static std::vector<std::size_t> places(const StoryLine &entry)
    {
        std::vector<std::size_t> shown(entry.causes);
        for (std::size_t &place : shown) {
            ++place;
        }
        return shown;
    }

    void writeHead(const std::string &request)
    {
        absl::StrAppend(&m_text,
                        "request ",
                        request,
                        "\nLines marked * are about the request; the others say what it met.\n",
                        "The clocks of different hosts may differ: lines of one process stand in its own order, causes "
                        "(\"after\")\nbefore their effects; only where neither decides, calendar clocks do.\n");
        for (const ClockLag &lag : m_story.lags) {
            absl::StrAppend(&m_text, "The clock of ", lag.host, " is at least ", lag.ms, " ms behind.\n");
        }
        if (m_story.contradictory) {
            absl::StrAppend(&m_text, "The causes form a circle: the order between hosts is not certain.\n");
        }
        absl::StrAppend(&m_text, "\n");
    }

    // Milliseconds since the first line about the request of the same process.
    std::int64_t sinceFirst(const StoryLine &entry) const
    {
        const auto isFirst = [&](const StoryLine &other) {
            return other.selected.process == entry.selected.process
                && (other.selected.aboutRequest || !isHandler(entry.selected.process));
        };
        return line(entry).bootMs - line(*std::ranges::find_if(m_story.lines, isFirst)).bootMs;
    }

    bool isHandler(std::size_t process) const
    {
        return std::ranges::any_of(m_story.lines, [process](const StoryLine &entry) {
            return entry.selected.process == process && entry.selected.aboutRequest;
        });
    }

    void writeLine(std::size_t place)
    {
        const StoryLine &entry = m_story.lines[place];
        const ExplainLine &shown = line(entry);
        absl::StrAppendFormat(&m_text,
                              "%3d %s %s %+7d ms  %-*s  %-*s  %-*s ",
                              place + 1,
                              entry.selected.aboutRequest ? "*" : " ",
                              absl::FormatTime("%H:%M:%E3S", absl::FromUnixMillis(shown.wallMs), absl::UTCTimeZone()),
                              sinceFirst(entry),
                              m_hostWidth,
                              process(entry).host,
                              m_roleWidth,
                              process(entry).role,
                              m_eventWidth,
                              shown.event);
        for (const auto &[name, value] : shown.fields.items()) {
            absl::StrAppend(&m_text, " ", name, "=", value.is_string() ? value.get<std::string>() : value.dump());
        }
        if (!entry.causes.empty()) {
            absl::StrAppend(&m_text, "  (after ", absl::StrJoin(places(entry), ", "), ")");
        }
        absl::StrAppend(&m_text, "\n");
    }

    void writeEnd()
    {
        const auto last = std::find_if(m_story.lines.rbegin(), m_story.lines.rend(), [this](const StoryLine &entry) {
            return entry.selected.aboutRequest && endsRequest(line(entry));
        });
        if (last == m_story.lines.rend()) {
            writeMissingEnd();
            return;
        }
        const std::string reason = line(*last).text("reason");
        absl::StrAppend(&m_text, "\nend: ", line(*last).event, " at ", process(*last).host);
        if (!reason.empty()) {
            absl::StrAppend(&m_text, ", reason ", reason);
        }
        absl::StrAppend(&m_text, "\n");
        if (const ReasonDescription *description = describeReason(reason)) {
            m_text.append("     ")
                .append(description->meaning)
                .append("; see ")
                .append(description->seeAlso)
                .append("\n");
        }
    }

    // The newest line of a process without an end says how long it still ran.
    void writeMissingEnd()
    {
        const auto last = std::find_if(m_story.lines.rbegin(), m_story.lines.rend(), [](const StoryLine &entry) {
            return entry.selected.aboutRequest;
        });
        const std::int64_t later = process(*last).lines.back().bootMs - line(*last).bootMs;
        absl::StrAppend(&m_text,
                        "\nno line tells the end: the newest line of ",
                        process(*last).host,
                        " (",
                        process(*last).role,
                        ") came ",
                        later,
                        " ms after the last one about the request\n");
    }

    const std::vector<ExplainProcess> &m_processes;
    const Story &m_story;
    std::size_t m_hostWidth = 0;
    std::size_t m_roleWidth = 0;
    std::size_t m_eventWidth = 0;
    std::string m_text;
};

} // namespace

std::string storyText(const std::vector<ExplainProcess> &processes, const Story &story, const std::string &request)
{
    return StoryWriter(processes, story).table(request);
}

std::string storyJsonLines(const std::vector<ExplainProcess> &processes, const Story &story)
{
    return StoryWriter(processes, story).jsonLines();
}

} // namespace celeryroute
