#include <celeryroute/detail/cli/explainorder.h>

#include <algorithm>
#include <limits>
#include <map>
#include <optional>

namespace celeryroute {

namespace {

constexpr std::size_t None = std::numeric_limits<std::size_t>::max();

class StoryOrder
{
public:
    StoryOrder(const std::vector<ExplainProcess> &processes, const std::vector<SelectedLine> &selected)
        : m_processes(processes)
        , m_selected(selected)
        , m_causes(selected.size())
        , m_queues(processes.size())
    {
        for (std::size_t i = 0; i < selected.size(); ++i) {
            m_queues[selected[i].process].push_back(i);
        }
    }

    Story order()
    {
        findMessageCauses();
        findSendCauses();
        findStarts();
        findLags();
        merge();
        if (!m_story.contradictory) {
            for (const auto &[host, ms] : m_lags) {
                m_story.lags.push_back({host, ms});
            }
        }
        return std::move(m_story);
    }

private:
    const ExplainLine &line(std::size_t index) const
    {
        const SelectedLine &selected = m_selected[index];
        return m_processes[selected.process].lines[selected.line];
    }
    const ExplainProcess &process(std::size_t index) const
    {
        return m_processes[m_selected[index].process];
    }

    void addCause(std::size_t cause, std::size_t effect)
    {
        if (std::ranges::find(m_causes[effect], cause) == m_causes[effect].end()) {
            m_causes[effect].push_back(cause);
        }
    }

    // The only process of an incarnation; none when several share its number.
    std::size_t processOf(std::uint64_t incarnation) const
    {
        const auto first = std::ranges::find(m_processes, incarnation, &ExplainProcess::incarnation);
        if (first == m_processes.end()
            || std::find_if(first + 1,
                            m_processes.end(),
                            [&](const ExplainProcess &other) { return other.incarnation == incarnation; })
                != m_processes.end()) {
            return None;
        }
        return static_cast<std::size_t>(first - m_processes.begin());
    }

    void findMessageCauses()
    {
        for (std::size_t effect = 0; effect < m_selected.size(); ++effect) {
            const auto incarnation = line(effect).number("heard_inc");
            const auto heard = line(effect).number("heard_msg");
            const std::size_t sender = incarnation && heard ? processOf(*incarnation) : None;
            if (sender == None || sender == m_selected[effect].process) {
                continue;
            }
            std::size_t newest = None;
            for (const std::size_t candidate : m_queues[sender]) {
                const auto message = line(candidate).number("msg");
                newest = message && *message <= *heard ? candidate : newest;
            }
            if (newest != None) {
                addCause(newest, effect);
            }
        }
    }

    // What other processes say of a send happened after the send.
    void findSendCauses()
    {
        for (std::size_t sent = 0; sent < m_selected.size(); ++sent) {
            if (line(sent).event != "request.sent") {
                continue;
            }
            for (std::size_t effect = 0; effect < m_selected.size(); ++effect) {
                if (m_selected[effect].process != m_selected[sent].process && line(effect).request == line(sent).request
                    && line(effect).event != "request.sent"
                    && line(effect).number("attempt") == line(sent).number("attempt")) {
                    addCause(sent, effect);
                }
            }
        }
    }

    // Processes are sorted, so that the next start of a process is its neighbour.
    void findStarts()
    {
        for (std::size_t i = 1; i < m_processes.size(); ++i) {
            const ExplainProcess &before = m_processes[i - 1];
            const ExplainProcess &after = m_processes[i];
            if (before.host == after.host && before.role == after.role && !m_queues[i - 1].empty()
                && !m_queues[i].empty()) {
                addCause(m_queues[i - 1].back(), m_queues[i].front());
            }
        }
    }

    // Calendar time that runs evenly within a process and is moved so that causes come first.
    std::int64_t evenTime(std::size_t index) const
    {
        const ExplainLine &first = process(index).lines.front();
        const auto lag = m_lags.find(process(index).host);
        return first.wallMs - first.bootMs + line(index).bootMs + (lag == m_lags.end() ? 0 : lag->second);
    }

    bool raiseLags()
    {
        bool raised = false;
        for (std::size_t effect = 0; effect < m_selected.size(); ++effect) {
            for (const std::size_t cause : m_causes[effect]) {
                const std::int64_t gap = evenTime(cause) - evenTime(effect);
                if (gap > 0 && process(cause).host != process(effect).host) {
                    m_lags[process(effect).host] += gap;
                    raised = true;
                }
            }
        }
        return raised;
    }

    // The longest chain of hosts bounds the rounds, unless causes form a circle.
    void findLags()
    {
        for (std::size_t round = 0; round <= m_processes.size() && raiseLags(); ++round) {}
    }

    bool isReady(std::size_t index) const
    {
        return std::ranges::all_of(m_causes[index], [this](std::size_t cause) { return m_places.contains(cause); });
    }

    // The earliest line that no line outside the story precedes; without one, the earliest of all.
    std::size_t next(const std::vector<std::size_t> &heads)
    {
        std::size_t best = None;
        bool bestReady = false;
        for (std::size_t queue = 0; queue < heads.size(); ++queue) {
            if (heads[queue] == m_queues[queue].size()) {
                continue;
            }
            const std::size_t index = m_queues[queue][heads[queue]];
            const bool ready = isReady(index);
            if (best == None || (ready && !bestReady) || (ready == bestReady && evenTime(index) < evenTime(best))) {
                best = index;
                bestReady = ready;
            }
        }
        m_story.contradictory = m_story.contradictory || !bestReady;
        return best;
    }

    void merge()
    {
        std::vector<std::size_t> heads(m_queues.size(), 0);
        while (m_story.lines.size() < m_selected.size()) {
            const std::size_t index = next(heads);
            ++heads[m_selected[index].process];
            std::vector<std::size_t> causes;
            for (const std::size_t cause : m_causes[index]) {
                const auto place = m_places.find(cause);
                if (place != m_places.end()) {
                    causes.push_back(place->second);
                }
            }
            m_places[index] = m_story.lines.size();
            m_story.lines.push_back({m_selected[index], std::move(causes)});
        }
    }

    const std::vector<ExplainProcess> &m_processes;
    const std::vector<SelectedLine> &m_selected;
    std::vector<std::vector<std::size_t>> m_causes; ///< By selected line.
    std::vector<std::vector<std::size_t>> m_queues; ///< By process: its selected lines in order.
    std::map<std::string, std::int64_t> m_lags; ///< By host.
    std::map<std::size_t, std::size_t> m_places;
    Story m_story;
};

} // namespace

Story orderLines(const std::vector<ExplainProcess> &processes, const std::vector<SelectedLine> &selected)
{
    return StoryOrder(processes, selected).order();
}

} // namespace celeryroute
