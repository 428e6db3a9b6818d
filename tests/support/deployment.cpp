#include "deployment.h"

#include "httpcalls.h"

#include <celeryroute/detail/platform/hostlistformat.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <stdexcept>
#include <thread>
#include <zmq.h>

namespace celeryroute {

namespace {

constexpr Duration HangGuard = std::chrono::seconds(120);
constexpr Duration ReadyPollInterval = std::chrono::milliseconds(50);
constexpr std::size_t CurveKeyBuffer = 41;

CurveKeys makeKeys()
{
    std::array<char, CurveKeyBuffer> publicKey{};
    std::array<char, CurveKeyBuffer> secretKey{};
    zmq_curve_keypair(publicKey.data(), secretKey.data());
    return {publicKey.data(), secretKey.data()};
}

nlohmann::json waitForStart(ChildProcess &process, const std::string &program)
{
    nlohmann::json ready = process.waitUntilReady();
    if (!ready.is_object()) {
        throw std::runtime_error(program + " did not start: " + process.errorOutput());
    }
    return ready;
}

std::string urlOf(const nlohmann::json &ready)
{
    return "http://" + ready["listen"].get<std::string>();
}

} // namespace

Deployment::Deployment(DeploymentSpec spec)
    : m_spec(std::move(spec))
    , m_keys(m_spec.encrypted ? makeKeys() : CurveKeys())
{
    m_logUrl = startPlatform(m_log, "standin-log", m_spec.logArguments);
    m_hostsUrl = startPlatform(m_hosts, "standin-hosts", m_spec.hostsArguments);
    m_weightsUrl = startPlatform(m_weights, "standin-weights", m_spec.weightsArguments);
    unsigned number = 0;
    for (const PoolDeployment &pool : m_spec.pools) {
        for (unsigned i = 0; i < pool.workers; ++i) {
            startWorker(pool, number++);
        }
    }
    for (unsigned i = 0; i < m_spec.entries; ++i) {
        startEntry(i);
    }
}

// Daemons end first, so that their last moments are not spent on missing stand-ins.
Deployment::~Deployment()
{
    m_entries.clear();
    for (Worker &worker : m_workers) {
        worker.agent.reset();
    }
}

std::string Deployment::startPlatform(std::unique_ptr<ChildProcess> &process,
                                      const std::string &program,
                                      const std::vector<std::string> &arguments) const
{
    process = std::make_unique<ChildProcess>(program, arguments);
    return urlOf(waitForStart(*process, program));
}

void Deployment::startWorker(const PoolDeployment &pool, unsigned number)
{
    Worker worker;
    worker.host.host = absl::StrCat(pool.name, "-", number);
    worker.host.domain = domain(number);
    worker.host.role = HostRole::Agent;
    worker.host.pool = pool.name;
    startTarget(worker, "127.0.0.1:0");
    startAgent(worker);
    m_workers.push_back(std::move(worker));
}

void Deployment::startTarget(Worker &worker, const std::string &listen) const
{
    const PoolDeployment &pool = poolOf(worker);
    const std::string program = pool.engines ? "standin-engine" : "standin-service";
    std::vector<std::string> arguments = {"--listen=" + listen};
    if (pool.engines) {
        arguments.push_back("--weights-url=" + m_weightsUrl);
    }
    arguments.insert(arguments.end(), pool.targetArguments.begin(), pool.targetArguments.end());
    worker.target = std::make_unique<ChildProcess>(program, arguments);
    worker.targetUrl = urlOf(waitForStart(*worker.target, program));
}

void Deployment::startAgent(Worker &worker) const
{
    std::vector<std::string> arguments = daemonArguments(worker.host, "agent");
    arguments.push_back("--pool=" + worker.host.pool);
    arguments.push_back("--target-url=" + worker.targetUrl);
    arguments.insert(arguments.end(), m_spec.agentArguments.begin(), m_spec.agentArguments.end());
    worker.agent = std::make_unique<ChildProcess>("celeryrouted", arguments);
    const nlohmann::json ready = waitForStart(*worker.agent, "celeryrouted");
    worker.adminUrl = urlOf(ready);
    worker.host.address = ready["peer"].get<std::string>();
    registerHost(worker.host);
}

void Deployment::startEntry(unsigned number)
{
    Entry entry;
    entry.host.host = absl::StrCat("entry-", number);
    entry.host.domain = domain(number);
    entry.host.role = HostRole::Entry;
    std::vector<std::string> arguments = daemonArguments(entry.host, "entry");
    arguments.insert(arguments.end(), m_spec.entryArguments.begin(), m_spec.entryArguments.end());
    entry.process = std::make_unique<ChildProcess>("celeryrouted", arguments);
    const nlohmann::json ready = waitForStart(*entry.process, "celeryrouted");
    entry.url = urlOf(ready);
    entry.host.address = ready["peer"].get<std::string>();
    registerHost(entry.host);
    m_entries.push_back(std::move(entry));
}

std::vector<std::string> Deployment::daemonArguments(const HostEntry &host, const std::string &role) const
{
    std::vector<std::string> arguments = {"--role=" + role,
                                          "--host=" + host.host,
                                          "--domain=" + host.domain,
                                          "--listen=127.0.0.1:0",
                                          "--peer-listen=127.0.0.1:0",
                                          "--log-url=" + m_logUrl,
                                          "--hosts-url=" + m_hostsUrl};
    if (m_keys.enabled()) {
        arguments.push_back("--curve-public-key=" + m_keys.publicKey);
        arguments.push_back("--curve-secret-key=" + m_keys.secretKey);
    }
    return arguments;
}

const std::string &Deployment::domain(unsigned number) const
{
    return m_spec.domains[number % m_spec.domains.size()];
}

const PoolDeployment &Deployment::poolOf(const Worker &worker) const
{
    const auto found = std::find_if(m_spec.pools.begin(), m_spec.pools.end(), [&](const PoolDeployment &pool) {
        return pool.name == worker.host.pool;
    });
    return *found;
}

std::string Deployment::celeryctl(const std::vector<std::string> &arguments) const
{
    std::vector<std::string> words = {"--log-url=" + m_logUrl};
    words.insert(words.end(), arguments.begin(), arguments.end());
    ChildProcess process("celeryctl", words);
    const int code = process.wait();
    process.waitForEnd();
    if (code != 0) {
        std::fprintf(stderr, "celeryctl: exit code %d\n%s", code, process.errorOutput().c_str());
        return {};
    }
    return process.output();
}

bool Deployment::apply(const std::vector<std::string> &files) const
{
    std::vector<std::string> words = {"apply"};
    words.insert(words.end(), files.begin(), files.end());
    return !celeryctl(words).empty();
}

std::string Deployment::grantKey(const std::string &customer) const
{
    const nlohmann::json granted = nlohmann::json::parse(celeryctl({"--json", "key", "grant", customer}),
                                                         nullptr,
                                                         false);
    return granted.is_object() ? granted.value("key", "") : "";
}

bool Deployment::waitUntilReady() const
{
    std::vector<std::string> urls;
    for (const Entry &entry : m_entries) {
        urls.push_back(entry.url + "/readyz");
    }
    for (const Worker &worker : m_workers) {
        urls.push_back(worker.adminUrl + "/readyz");
    }
    const TimePoint giveUp = MonotonicClock::now() + HangGuard;
    while (!urls.empty() && MonotonicClock::now() < giveUp) {
        if (callHttp("GET", urls.back()).status == 200) {
            urls.pop_back();
        } else {
            std::this_thread::sleep_for(ReadyPollInterval);
        }
    }
    return urls.empty();
}

void Deployment::replaceAgent(Worker &worker, int signal)
{
    worker.agent->signal(signal);
    worker.agent->wait();
    startAgent(worker);
}

void Deployment::restartTarget(Worker &worker)
{
    worker.target.reset();
    startTarget(worker, worker.targetUrl.substr(worker.targetUrl.find("//") + 2));
}

void Deployment::registerHost(const HostEntry &entry) const
{
    const HttpResponse response = callHttp("PUT", m_hostsUrl + "/v1/hosts/" + entry.host, encodeHostEntry(entry));
    if (response.status != 200) {
        throw std::runtime_error("the host list refused " + entry.host);
    }
}

void Deployment::removeHost(const std::string &host) const
{
    callHttp("DELETE", m_hostsUrl + "/v1/hosts/" + host);
}

const std::string &Deployment::logUrl() const
{
    return m_logUrl;
}

const std::string &Deployment::hostsUrl() const
{
    return m_hostsUrl;
}

const std::string &Deployment::weightsUrl() const
{
    return m_weightsUrl;
}

std::vector<Deployment::Worker> &Deployment::workers()
{
    return m_workers;
}

std::vector<Deployment::Entry> &Deployment::entries()
{
    return m_entries;
}

ChildProcess &Deployment::log()
{
    return *m_log;
}

} // namespace celeryroute
