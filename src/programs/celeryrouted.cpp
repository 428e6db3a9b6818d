#include <celeryroute/detail/node/nodecommand.h>
#include <celeryroute/platform/translation.h>
#ifdef CELERYROUTE_STANDALONE
#include <celeryroute/detail/daemon/standalone.h>
#endif

#include <cstdlib>

int main(int argc, char **argv)
{
    const char *settingsFile = std::getenv(celeryroute::SettingsFileVariable);
#ifdef CELERYROUTE_STANDALONE
    if (settingsFile == nullptr) {
        return celeryroute::runStandalone(argc, argv);
    }
#endif
    return celeryroute::runNodeCommand(std::vector<std::string>(argv + 1, argv + argc),
                                       settingsFile == nullptr ? "" : settingsFile,
                                       celeryroute::platform::translation());
}
