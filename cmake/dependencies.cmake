# All third-party libraries come from the distribution; see scripts/install-packages.sh.
# Boost (header only: Beast's parsers, LEAF) needs no find_package.
find_package(Threads REQUIRED)
find_package(Protobuf REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
pkg_check_modules(CRYPTO REQUIRED IMPORTED_TARGET libcrypto)

add_library(celeryroute_serving_dependencies INTERFACE)
target_link_libraries(celeryroute_serving_dependencies INTERFACE
    Threads::Threads nlohmann_json::nlohmann_json PkgConfig::XXHASH PkgConfig::CRYPTO)
