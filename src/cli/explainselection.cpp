#include <celeryroute/detail/cli/explainselection.h>

#include <celeryroute/detail/telemetry/reasonnames.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <string_view>

namespace celeryroute {

namespace {

// Calendar clocks of hosts may differ by this much without the lines of one being missed.
constexpr std::int64_t ClockMarginMs = 2000;

// Of each group, the newest line before a request says what held when the request came.
constexpr std::array<std::string_view, 4> StandingGroups{"process.", "store.", "keys.", "state."};

// Names that the lines about the request mention.
struct Mentioned {
    std::set<std::string> targets;
    std::set<std::string> customers;
    std::set<std::string> items;

    void add(const ExplainLine &line)
    {
        insert(targets, line.text("target"));
        insert(targets, line.text("from_target"));
        insert(customers, line.text("customer"));
        insert(items, line.text("item"));
    }

private:
    static void insert(std::set<std::string> &names, const std::string &name)
    {
        if (!name.empty()) {
            names.insert(name);
        }
    }
};

// Newest message of one process that a decision rested on.
using HeardMessages = std::map<std::uint64_t, std::uint64_t>;

struct WallSpan {
    std::int64_t first = 0;
    std::int64_t last = 0;

    bool contains(std::int64_t wallMs) const
    {
        return wallMs >= first - ClockMarginMs && wallMs <= last + ClockMarginMs;
    }
};

class LineSelector
{
public:
    LineSelector(const std::vector<ExplainProcess> &processes, const std::string &request)
        : m_processes(processes)
        , m_request(request)
        , m_chosen(processes.size())
    {}

    std::vector<SelectedLine> select()
    {
        for (std::size_t i = 0; i < m_processes.size(); ++i) {
            takeRequestLines(i);
        }
        if (m_handlers.empty()) {
            return {};
        }
        for (const std::size_t handler : m_handlers) {
            takeOwnContext(handler);
            takeLaterStart(handler);
        }
        for (std::size_t i = 0; i < m_processes.size(); ++i) {
            if (!m_handlers.contains(i)) {
                takeForeignContext(i);
            }
        }
        return selection();
    }

private:
    const std::vector<ExplainLine> &lines(std::size_t process) const
    {
        return m_processes[process].lines;
    }

    void takeRequestLines(std::size_t process)
    {
        for (std::size_t i = 0; i < lines(process).size(); ++i) {
            const ExplainLine &line = lines(process)[i];
            if (line.request != m_request) {
                continue;
            }
            m_chosen[process][i] = true;
            m_mentioned.add(line);
            m_allowanceSpent = m_allowanceSpent || line.text("reason") == reasons::Allowance;
            noteHeard(line);
            m_span = m_handlers.empty()
                ? WallSpan{line.wallMs, line.wallMs}
                : WallSpan{std::min(m_span.first, line.wallMs), std::max(m_span.last, line.wallMs)};
            m_handlers.insert(process);
        }
    }

    void noteHeard(const ExplainLine &line)
    {
        const auto incarnation = line.number("heard_inc");
        const auto message = line.number("heard_msg");
        if (incarnation && message) {
            std::uint64_t &newest = m_heard[*incarnation];
            newest = std::max(newest, *message);
        }
    }

    bool isAboutMentioned(const ExplainLine &line) const
    {
        return m_mentioned.targets.contains(line.text("target"))
            || (line.event.starts_with("agent.") && m_mentioned.items.contains(line.text("item")))
            || (line.event.starts_with("allowance.") && isAboutAllowance(line));
    }

    // A line without a customer is about the allowances of all.
    bool isAboutAllowance(const ExplainLine &line) const
    {
        const std::string customer = line.text("customer");
        return customer.empty() ? !m_mentioned.customers.empty() : m_mentioned.customers.contains(customer);
    }

    // What a line is about: the newest line of each subject before the request is part of its story.
    std::string subject(const ExplainLine &line) const
    {
        for (const std::string_view group : StandingGroups) {
            if (line.event.starts_with(group)) {
                return std::string(group) + line.text("topic");
            }
        }
        if (!line.request.empty() || !isAboutMentioned(line)) {
            return {};
        }
        const std::string group = line.event.substr(0, line.event.find('.') + 1);
        return group + line.text("target") + ' ' + line.text("customer") + ' ' + line.text("item");
    }

    static bool isDependency(const ExplainLine &line)
    {
        return line.event.starts_with("peer.") || line.event.starts_with("settings.");
    }

    void takeOwnContext(std::size_t process)
    {
        const std::map<std::size_t, bool> &own = m_chosen[process];
        const std::size_t first = own.begin()->first;
        const std::size_t last = own.rbegin()->first;
        std::map<std::string, std::size_t> newest;
        for (std::size_t i = 0; i < first; ++i) {
            newest[subject(lines(process)[i])] = i;
        }
        newest.erase("");
        for (const auto &[name, line] : newest) {
            take(process, line);
        }
        for (std::size_t i = first; i < last; ++i) {
            const ExplainLine &line = lines(process)[i];
            if (!subject(line).empty() || isDependency(line)) {
                take(process, i);
            }
        }
    }

    bool hasEnd(std::size_t process) const
    {
        return std::ranges::any_of(m_chosen[process], [&](const auto &chosen) {
            return chosen.second && endsRequest(lines(process)[chosen.first]);
        });
    }

    // A process that ended in the middle of a request cannot say so; its next start does.
    void takeLaterStart(std::size_t process)
    {
        const ExplainProcess &ended = m_processes[process];
        if (hasEnd(process)) {
            return;
        }
        for (std::size_t i = process + 1; i < m_processes.size(); ++i) {
            if (m_processes[i].host == ended.host && m_processes[i].role == ended.role) {
                take(i, 0);
                return;
            }
        }
    }

    // Whether the line says who held the rest of an allowance that was spent here.
    bool holdsSpentAllowance(const ExplainLine &line) const
    {
        return m_allowanceSpent && line.event.starts_with("allowance.") && line.wallMs <= m_span.last + ClockMarginMs;
    }

    void takeForeignContext(std::size_t process)
    {
        const auto heard = m_heard.find(m_processes[process].incarnation);
        std::map<std::string, std::size_t> newest;
        for (std::size_t i = 0; i < lines(process).size(); ++i) {
            const ExplainLine &line = lines(process)[i];
            const bool ofAllAllowances = line.event.starts_with("allowance.") && line.text("customer").empty();
            if (!line.request.empty() || !isAboutMentioned(line) || (ofAllAllowances && !m_allowanceSpent)) {
                continue;
            }
            const auto message = line.number("msg");
            const bool wasHeard = heard != m_heard.end() && message && *message <= heard->second;
            if (wasHeard || holdsSpentAllowance(line)) {
                newest[subject(line)] = i;
            }
            if (m_span.contains(line.wallMs)) {
                take(process, i);
            }
        }
        for (const auto &[name, line] : newest) {
            take(process, line);
        }
    }

    void take(std::size_t process, std::size_t line)
    {
        m_chosen[process].try_emplace(line, false);
    }

    std::vector<SelectedLine> selection() const
    {
        std::vector<SelectedLine> selected;
        for (std::size_t process = 0; process < m_chosen.size(); ++process) {
            for (const auto &[line, aboutRequest] : m_chosen[process]) {
                selected.push_back({process, line, aboutRequest});
            }
        }
        return selected;
    }

    const std::vector<ExplainProcess> &m_processes;
    const std::string &m_request;
    std::vector<std::map<std::size_t, bool>> m_chosen; ///< By process: lines, and whether they are about the request.
    std::set<std::size_t> m_handlers; ///< Processes with lines about the request.
    Mentioned m_mentioned;
    HeardMessages m_heard;
    WallSpan m_span;
    bool m_allowanceSpent = false;
};

} // namespace

std::vector<SelectedLine> selectLines(const std::vector<ExplainProcess> &processes, const std::string &request)
{
    return LineSelector(processes, request).select();
}

} // namespace celeryroute
