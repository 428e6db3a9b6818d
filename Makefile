# Named chores. `make help` lists them.
BUILD ?= build
JOBS ?= $(shell nproc)
export CCACHE_BASEDIR ?= $(abspath $(CURDIR)/..)
export CCACHE_NOHASHDIR ?= 1

.PHONY: help quickstart scale packages build test model format format-fix lint check check-asan check-tsan proto clean capacity slopes bench platform-names type-names \
	configure-again deploy-build

help: ## List the chores.
	@grep -hE '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed -E 's/:.*## /\t/' | expand -t 16

quickstart: packages build ## Start a small deployment, send a chat and a booking, stop it.
	BUILD=$(abspath $(BUILD)) scripts/quickstart.py

scale: build ## Run the larger sample deployment under a mixed load for a minute.
	BUILD=$(abspath $(BUILD)) scripts/scale-rig.py

packages: ## Install the Debian packages that the project needs.
	scripts/install-packages.sh

build: ## Configure and build everything in $(BUILD).
	cmake -G Ninja -S . -B $(BUILD) > $(BUILD).configure.log 2>&1 || { cat $(BUILD).configure.log; exit 1; }
	cmake --build $(BUILD) -j $(JOBS)

test: build ## Run all tests but those that KNOWN-RED.txt names; print these.
	scripts/known-red.sh
	CELERYROUTE_KNOWN_RED=$(abspath KNOWN-RED.txt) ctest --test-dir $(BUILD) --output-on-failure -j $(JOBS)

model: ## Check the protocol models with spin; broken variants must be rejected.
	scripts/check-models.sh

format: ## Fail when a file is not formatted.
	scripts/check-format.sh

format-fix: ## Format all files in place.
	scripts/check-format.sh --fix

lint: build ## Run clang-tidy.
	CELERYROUTE_JOBS=$(JOBS) scripts/check-lint.sh $(BUILD)

type-names: ## Fail when two headers define types of one name.
	scripts/check-type-names.sh

platform-names: ## Fail when a name of the platform appears outside platform/.
	scripts/check-platform-names.sh

configure-again: build ## Fail when configuring a second time would build everything anew.
	scripts/check-configure.sh $(abspath $(BUILD))

deploy-build: ## Build as the users' machines do, in a clean checkout of HEAD, and check what comes out.
	scripts/deploy-build.py $(abspath $(BUILD))

check: packages build format lint platform-names type-names configure-again model capacity test deploy-build ## All that CI checks.

capacity: build ## Check that docs/CAPACITY.md matches its slopes.
	BUILD=$(abspath $(BUILD)) scripts/capacity.py --check

slopes: build ## Measure the slopes of docs/CAPACITY.md anew and rewrite the page.
	BUILD=$(abspath $(BUILD)) scripts/measure-slopes.py --write
	scripts/capacity.py

bench: build ## Run the benchmarks and compare them with bounds of the target size; BENCH="NAME..." for some.
	BUILD=$(abspath $(BUILD)) scripts/bench.py $(BENCH)

check-asan: ## Tests under AddressSanitizer and UndefinedBehaviorSanitizer.
	cmake -G Ninja -S . -B $(BUILD)-asan -DCELERYROUTE_SANITIZER=address
	cmake --build $(BUILD)-asan -j $(JOBS)
	ctest --test-dir $(BUILD)-asan --output-on-failure -j $(JOBS)

check-tsan: ## Tests under ThreadSanitizer.
	cmake -G Ninja -S . -B $(BUILD)-tsan -DCELERYROUTE_SANITIZER=thread
	cmake --build $(BUILD)-tsan -j $(JOBS)
	ctest --test-dir $(BUILD)-tsan --output-on-failure -j $(JOBS)

proto: ## Regenerate the committed protobuf code.
	scripts/generate-proto.sh

clean: ## Remove the build folders.
	rm -rf $(BUILD) $(BUILD)-asan $(BUILD)-tsan $(BUILD).configure.log
