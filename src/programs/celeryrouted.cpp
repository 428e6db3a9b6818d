#include <celeryroute/detail/node/nodemain.h>
#include <celeryroute/platform/translation.h>
#ifdef CELERYROUTE_STANDALONE
#include <celeryroute/detail/daemon/standalone.h>
#endif

#include <cstdio>
#include <cstdlib>

namespace {

constexpr const char *SettingsFileVariable = "CELERYROUTE_CONFIG";

} // namespace

int main(int argc, char **argv)
{
    if (const char *settingsFile = std::getenv(SettingsFileVariable)) {
        return celeryroute::runNode(settingsFile, celeryroute::platform::translation());
    }
#ifdef CELERYROUTE_STANDALONE
    return celeryroute::runStandalone(argc, argv);
#else
    (void)argc;
    std::fprintf(stderr, "%s: %s names no settings file\n", argv[0], SettingsFileVariable);
    return 2;
#endif
}
