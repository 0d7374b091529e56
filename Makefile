# Thin front to CMake.  BUILD names the build folder, SANITIZE=OFF a plain one.
BUILD ?= build
JOBS ?= $(shell nproc)
SOURCES = $(wildcard src/*.[ch] platform/*.[ch] test/*.[ch] api_test/*.[ch] bench/*.[ch])

all: $(BUILD)/Makefile
	@$(MAKE) --no-print-directory -C $(BUILD) -j$(JOBS)

$(BUILD)/Makefile: CMakeLists.txt
	@cmake -S . -B $(BUILD) $(CMAKE_FLAGS) > /dev/null

deps:
	@sh .ci/deps

# Test builds run under ASan and UBSan.
check:
	@$(MAKE) --no-print-directory all BUILD=$(BUILD)-san \
	  CMAKE_FLAGS="-DMARJORAM_SANITIZE=ON"
	@sh test/check.sh $(BUILD)-san

# Takes each guard away in turn; its test must fail.
mutants:
	@sh test/mutants.sh $(MUTANTS)

# Any number of seeds of the seeded scenarios: make soak SEED=1000 COUNT=500.
soak:
	@$(MAKE) --no-print-directory all BUILD=$(BUILD)-san \
	  CMAKE_FLAGS="-DMARJORAM_SANITIZE=ON"
	@SEED=$(SEED) COUNT=$(COUNT) sh test/soak.sh $(BUILD)-san

demo: deps all
	@sh test/demo.sh $(BUILD)

# BENCH names single ones; the raw lines stay in bench/raw.
bench: all
	@sh bench/run.sh $(BUILD) $(BENCH)

# docs/MEASUREMENTS.md and its plots, from the raw lines.
report:
	@sh bench/report.sh

format:
	@clang-format -i $(SOURCES)

format-check:
	@clang-format --dry-run --Werror $(SOURCES)

lint: $(BUILD)/Makefile
	@printf '%s\n' $(filter %.c,$(SOURCES)) | xargs -P $(JOBS) -n 1 \
	  clang-tidy --quiet -p $(BUILD) 2>/dev/null

clean:
	rm -rf $(BUILD) $(BUILD)-san

.PHONY: report all deps check mutants soak demo bench format format-check lint clean
