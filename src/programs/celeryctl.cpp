#include <celeryroute/error.h>

#include <cstdio>

int main()
{
    std::printf("celeryctl %s\n", CELERYROUTE_VERSION);
    return 0;
}
