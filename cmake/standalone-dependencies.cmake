# Libraries of the roles that run over the project's own log and host list, and of the tests.
find_package(absl REQUIRED)
find_package(prometheus-cpp CONFIG REQUIRED)
pkg_check_modules(ZMQ REQUIRED IMPORTED_TARGET libzmq)
# Its flags name the headers of its own dependencies, which zmq.h does not need. FindPkgConfig also
# places their `-isystem` in another order when it reads them from the cache, so that every second
# configuration would change all commands.
set_target_properties(PkgConfig::ZMQ PROPERTIES
    INTERFACE_COMPILE_OPTIONS "" INTERFACE_INCLUDE_DIRECTORIES "${ZMQ_INCLUDEDIR}")
pkg_check_modules(POPT REQUIRED IMPORTED_TARGET popt)
pkg_check_modules(LOG4CXX REQUIRED IMPORTED_TARGET liblog4cxx)
pkg_check_modules(CPPUTEST REQUIRED IMPORTED_TARGET cpputest)
pkg_check_modules(YAMLCPP REQUIRED IMPORTED_TARGET yaml-cpp)

add_library(celeryroute_dependencies INTERFACE)
target_link_libraries(celeryroute_dependencies INTERFACE
    Threads::Threads
    absl::base absl::flat_hash_map absl::flat_hash_set absl::hash absl::strings absl::str_format
    absl::synchronization absl::time absl::random_random
    prometheus-cpp::core
    nlohmann_json::nlohmann_json
    PkgConfig::ZMQ PkgConfig::POPT PkgConfig::LOG4CXX
    PkgConfig::YAMLCPP PkgConfig::XXHASH PkgConfig::CRYPTO)
