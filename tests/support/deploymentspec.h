#pragma once

#include <string>
#include <vector>

namespace celeryroute {

/// Targets of one pool in a test deployment.
struct PoolDeployment {
    std::string name;
    bool engines = true; ///< False for plain services.
    unsigned workers = 1;
    std::vector<std::string> targetArguments;
    bool operator==(const PoolDeployment &) const = default;
};

/// What a test deployment consists of.
struct DeploymentSpec {
    std::vector<PoolDeployment> pools;
    unsigned entries = 1;
    std::vector<std::string> domains = {"domain-a", "domain-b", "domain-c"};
    std::vector<std::string> logArguments;
    std::vector<std::string> hostsArguments = {"--lag-ms=100"};
    std::vector<std::string> weightsArguments;
    std::vector<std::string> entryArguments;
    std::vector<std::string> agentArguments;
    bool encrypted = true; ///< Links between processes carry CURVE keys.
    bool operator==(const DeploymentSpec &) const = default;
};

} // namespace celeryroute
