# kumquatfield: plain Makefile.
#   make setup   install the Debian packages     make check  build, lint, all tests
#   make         daemon, command line, stand-ins  make demo   a fleet on loopback
CC = gcc
CXX = g++
CLANG = clang
BUILD = build
SEED ?= 1
STEPS ?= 200000
SECONDS ?= 30
JOBS ?= 12

PKGS = libmicrohttpd libcurl glib-2.0 jansson libxxhash libzstd
CFLAGS = -std=c11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -Werror -Isrc -I. -Istandin -Ifuzz \
         $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
CXXFLAGS = -std=c++17 -O2 -g -Wall -Wextra -Werror -Isrc
LIBS = -lev -lmsgpackc $(shell pkg-config --libs $(PKGS) 2>/dev/null) -lstdc++ -lm -lpthread
SAN = -fsanitize=address,undefined -fno-sanitize-recover=undefined -fno-omit-frame-pointer

LIB_C = $(filter-out %_test.c src/daemon/main.c src/ctl/main.c, $(wildcard src/*/*.c platform/*.c))
LIB_CC = $(wildcard src/*/*.cc)
LIB_O = $(LIB_C:%.c=%.o) $(LIB_CC:%.cc=%.o)
STANDIN_C = $(filter-out %_main.c, $(wildcard standin/*.c))
TEST_C = $(wildcard src/*/*_test.c platform/*_test.c tests/*_test.c)
TESTS = $(patsubst %.c,%,$(notdir $(TEST_C)))
# These check a process's memory, which the sanitizers multiply.
CROWD_TESTS = $(filter %_crowd_test,$(TESTS))
ASAN_TESTS = $(filter-out $(CROWD_TESTS),$(TESTS))
BENCH_MAIN = $(wildcard bench/*_main.c)
BENCH_C = $(filter-out $(BENCH_MAIN), $(wildcard bench/*.c)) $(filter-out soak/soak_main.c, $(wildcard soak/*.c))
FUZZ_C = $(wildcard fuzz/*.c)
FUZZ_LIB_C = $(filter-out fuzz/driver.c, $(FUZZ_C))
FUZZERS = $(patsubst fuzz/fuzz_%.c,%,$(wildcard fuzz/fuzz_*.c))
BENCHES = $(patsubst bench/%_main.c,%,$(BENCH_MAIN))
ALL_C = $(wildcard platform/*.c soak/*.c src/*/*.c standin/*.c bench/*.c tests/*.c fuzz/*.c)
ALL_H = $(wildcard platform/*.h soak/*.h src/*/*.h standin/*.h bench/*.h tests/*.h fuzz/*.h)

PROGRAMS = kumquatd kumquatctl $(patsubst standin/%_main.c,standin-%,$(wildcard standin/*_main.c))

.SECONDARY:
.PHONY: all setup check demo clean format format-check tidy tests asan pages-check
all: $(PROGRAMS:%=$(BUILD)/%)

setup:
	@tools/setup.sh

# Two builds of the same objects: plain, and with AddressSanitizer and UBSan.
$(BUILD)/o/%.o: %.c
	@mkdir -p $(@D)
	@echo "  CC $<"; $(CC) $(CFLAGS) -MMD -MP -c $< -o $@
$(BUILD)/o/%.o: %.cc
	@mkdir -p $(@D)
	@echo "  CXX $<"; $(CXX) $(CXXFLAGS) -MMD -MP -c $< -o $@
$(BUILD)/asan/o/%.o: %.c
	@mkdir -p $(@D)
	@echo "  CC $<"; $(CC) $(CFLAGS) -O1 $(SAN) -MMD -MP -c $< -o $@
$(BUILD)/asan/o/%.o: %.cc
	@mkdir -p $(@D)
	@echo "  CXX $<"; $(CXX) $(CXXFLAGS) -O1 $(SAN) -MMD -MP -c $< -o $@

$(BUILD)/libkq.a: $(LIB_O:%=$(BUILD)/o/%)
	@rm -f $@
	@ar rcs $@ $^
$(BUILD)/asan/libkq.a: $(LIB_O:%=$(BUILD)/asan/o/%)
	@rm -f $@
	@ar rcs $@ $^

# Helpers of benches and tests, in an archive of their own: the linker takes only what a test
# uses, so that a test without them can define fakes of functions that they call.
$(BUILD)/libbench.a: $(BENCH_C:%.c=$(BUILD)/o/%.o) $(FUZZ_LIB_C:%.c=$(BUILD)/o/%.o)
	@rm -f $@
	@ar rcs $@ $^
$(BUILD)/asan/libbench.a: $(BENCH_C:%.c=$(BUILD)/asan/o/%.o) \
                         $(FUZZ_LIB_C:%.c=$(BUILD)/asan/o/%.o)
	@rm -f $@
	@ar rcs $@ $^

$(BUILD)/kumquatd: $(BUILD)/o/src/daemon/main.o $(BUILD)/libkq.a
	@echo "  LD $@"; $(CC) -o $@ $^ $(LIBS)
$(BUILD)/kumquatctl: $(BUILD)/o/src/ctl/main.o $(BUILD)/libkq.a
	@echo "  LD $@"; $(CC) -o $@ $^ $(LIBS)
$(BUILD)/standin-%: $(BUILD)/o/standin/%_main.o $(STANDIN_C:%.c=$(BUILD)/o/%.o) $(BUILD)/libkq.a
	@echo "  LD $@"; $(CC) -o $@ $^ $(LIBS)
# The same programs with the sanitizers, for end-to-end tests.
$(BUILD)/asan/kumquatd: $(BUILD)/asan/o/src/daemon/main.o $(BUILD)/asan/libkq.a
	@echo "  LD $@"; $(CC) $(SAN) -o $@ $^ $(LIBS)
$(BUILD)/asan/standin-%: $(BUILD)/asan/o/standin/%_main.o $(STANDIN_C:%.c=$(BUILD)/asan/o/%.o) $(BUILD)/asan/libkq.a
	@echo "  LD $@"; $(CC) $(SAN) -o $@ $^ $(LIBS)
$(BUILD)/bench/%: $(BUILD)/o/bench/%_main.o $(BUILD)/libbench.a $(BUILD)/libkq.a
	@mkdir -p $(@D)
	@echo "  LD $@"; $(CC) -o $@ $^ $(LIBS)

vpath %_test.c $(sort $(dir $(TEST_C)))
$(BUILD)/t/%_test: $(BUILD)/libkq.a $(BUILD)/libbench.a
	@mkdir -p $(@D)
	@echo "  LD $@"; $(CC) $(CFLAGS) -DKQ_BUILD_DIR='"build"' -Itests -MMD -MP -o $@ $(filter %/$*_test.c,$(TEST_C)) $(BUILD)/libbench.a $(BUILD)/libkq.a $(LIBS) -lcmocka
$(BUILD)/asan/t/%_test: $(BUILD)/asan/libkq.a $(BUILD)/asan/libbench.a
	@mkdir -p $(@D)
	@echo "  LD $@"; $(CC) $(CFLAGS) -O1 $(SAN) -DKQ_BUILD_DIR='"build/asan"' -Itests -MMD -MP -o $@ $(filter %/$*_test.c,$(TEST_C)) $(BUILD)/asan/libbench.a $(BUILD)/asan/libkq.a $(LIBS) -lcmocka

define TEST_DEPS
$(BUILD)/t/$(basename $(notdir $(1))): $(1)
$(BUILD)/asan/t/$(basename $(notdir $(1))): $(1)
endef
$(foreach t,$(TEST_C),$(eval $(call TEST_DEPS,$(t))))

tests: $(TESTS:%=$(BUILD)/t/%)
asan: $(ASAN_TESTS:%=$(BUILD)/asan/t/%) $(filter-out $(BUILD)/asan/kumquatctl,$(PROGRAMS:%=$(BUILD)/asan/%))
benches: $(BENCHES:%=$(BUILD)/bench/%)

format:
	clang-format -i $(ALL_C) $(ALL_H)
format-check:
	@clang-format --dry-run -Werror $(ALL_C) $(ALL_H)

# One stamp for each file, so that only changed files are linted again.
$(BUILD)/tidy/%.ok: %.c $(ALL_H) .clang-tidy
	@mkdir -p $(@D)
	@clang-tidy --quiet $< -- $(CFLAGS) -DKQ_BUILD_DIR='"build"' -Itests >$(BUILD)/tidy/$(subst /,_,$*).log 2>&1 \
	  || { cat $(BUILD)/tidy/$(subst /,_,$*).log; exit 1; }
	@touch $@
tidy: $(ALL_C:%.c=$(BUILD)/tidy/%.ok)

# Compares the pages generated from the source with the committed ones.
pages-check: $(BUILD)/kumquatctl
	@$(BUILD)/kumquatctl results --markdown | diff -u docs/RESULTS.md -
	@tools/metrics.sh | diff -u docs/METRICS.md -
	@tools/check-names.sh
	@tools/check-platform.sh
	@python3 tools/ablation.py check
pages: $(BUILD)/kumquatctl
	$(BUILD)/kumquatctl results --markdown > docs/RESULTS.md
	tools/metrics.sh > docs/METRICS.md

check: setup
	+@$(MAKE) --no-print-directory -j$(JOBS) all tests asan benches tidy format-check pages-check
	@tools/run-tests.sh $(TESTS:%=$(BUILD)/t/%) $(ASAN_TESTS:%=$(BUILD)/asan/t/%)

demo: setup
	+@$(MAKE) --no-print-directory -j$(JOBS) all $(BUILD)/bench/demo
	@$(BUILD)/bench/demo $(BUILD)

clean:
	rm -rf $(BUILD)

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)

# Bytes and times of the distributed table and of membership, in simulation (SEED=n).
.PHONY: bench-table
bench-table: $(BUILD)/bench/table
	@$(BUILD)/bench/table $(SEED)

# bench-shard: the store calls of the shards' journals.
.PHONY: bench-shard
bench-shard: $(BUILD)/bench/shard
	@$< $(SEED)
# matrix: each step under each fault; soak: randomised runs of the shards' owners (SEED, STEPS);
# bench-handover: time without an owner after a planned stop or a crash.
.PHONY: matrix soak bench-handover
matrix: $(BUILD)/bench/matrix
	@$< $(SEED)
soak: $(BUILD)/bench/soak
	@$< $(SEED) $(STEPS)
bench-handover: $(BUILD)/bench/handover
	@$< $(SEED)

# Processor time and bytes of a node's store calls and lease calls.
.PHONY: bench-platform bench-faults-live
bench-platform: $(BUILD)/bench/platform
	@$<
# Requests and jobs on real processes under each fault: 27 cases, one after the other; takes
# about 10 minutes. CASE=name runs one, KEEP=1 keeps its logs.
bench-faults-live: $(BUILD)/bench/faults_live all
	@$<

# Results that callers get under load, from the real decision modules in simulation (SEED=n).
.PHONY: bench-load
bench-load: $(BUILD)/bench/load
	@$(BUILD)/bench/load $(SEED)

# Placement decisions for jobs under seeded load, and their cost (SEED=n).
.PHONY: bench-place
bench-place: $(BUILD)/bench/place
	@$(BUILD)/bench/place $(SEED)

# Latency added by the path through two nodes, compared with requests sent to the runner
# directly; memory while bodies of 100 MB pass.
.PHONY: bench-path
bench-path: all $(BUILD)/bench/path
	@$(BUILD)/bench/path $(BUILD)

# Manual pages printed by kumquatctl; man-check compares them with the committed ones.
.PHONY: man man-check
man: $(BUILD)/kumquatctl
	$(BUILD)/kumquatctl reference settings > docs/man/kumquatd.toml.5
	$(BUILD)/kumquatctl reference table > docs/man/kumquat-table.5
man-check: $(BUILD)/kumquatctl
	@$(BUILD)/kumquatctl reference settings | diff -u docs/man/kumquatd.toml.5 -
	@$(BUILD)/kumquatctl reference table | diff -u docs/man/kumquat-table.5 -
pages-check: man-check

# Fuzzes every parser of external input for SECONDS, with libFuzzer and the sanitizers. New
# and failing inputs go to build/fuzz; fuzz/corpus stays as committed.
FUZZ_SAN = -fsanitize=fuzzer-no-link,address,undefined -fno-sanitize-recover=undefined
FUZZ_CFLAGS = $(filter-out -Werror,$(CFLAGS)) -O1 $(FUZZ_SAN)
$(BUILD)/fuzz/o/%.o: %.c
	@mkdir -p $(@D)
	@$(CLANG) $(FUZZ_CFLAGS) -MMD -MP -c $< -o $@
$(BUILD)/fuzz/o/%.o: %.cc
	@mkdir -p $(@D)
	@$(CLANG)++ $(filter-out -Werror,$(CXXFLAGS)) -O1 $(FUZZ_SAN) -MMD -MP -c $< -o $@
$(BUILD)/fuzz/libkq.a: $(LIB_O:%=$(BUILD)/fuzz/o/%) $(FUZZ_LIB_C:%.c=$(BUILD)/fuzz/o/%.o)
	@rm -f $@
	@ar rcs $@ $^
$(FUZZERS:%=$(BUILD)/fuzz/%): $(BUILD)/fuzz/%: $(BUILD)/fuzz/libkq.a fuzz/driver.c
	@echo "  LD $@"; $(CLANG) $(FUZZ_CFLAGS) -DKQ_FUZZ_ENTRY=kq_fuzz_$* -c fuzz/driver.c -o $@.o \
	  && $(CLANG)++ $(FUZZ_SAN) -fsanitize=fuzzer -o $@ $@.o $< $(LIBS)
.PHONY: fuzz
fuzz: setup
	+@$(MAKE) --no-print-directory -j$(JOBS) $(FUZZERS:%=$(BUILD)/fuzz/%)
	@tools/fuzz.sh $(BUILD)/fuzz $(SECONDS) $(FUZZERS)

# Complete node cores in simulation under seeded faults: jobs, claims, moves, table, handover.
.PHONY: soak-whole
soak-whole: $(BUILD)/bench/whole
	@$< $(SEED) $(STEPS)

# Cost of a node for each peer, worker, task and start; docs/CAPACITY-SHARDS.md is calculated
# from it.
.PHONY: bench-slopes
bench-slopes: all $(BUILD)/bench/slopes
	@$(BUILD)/bench/slopes $(BUILD) $(SEED)
# Takes about 6 minutes; the page and its figures are committed together.
.PHONY: capacity capacity-check
CAPACITY_BENCHES = table shard platform load place
capacity: all $(BUILD)/bench/slopes $(CAPACITY_BENCHES:%=$(BUILD)/bench/%)
	@rm -f $(BUILD)/capacity.out
	@$(BUILD)/bench/slopes $(BUILD) $(SEED) >>$(BUILD)/capacity.out
	@for b in $(CAPACITY_BENCHES); do $(BUILD)/bench/$$b $(SEED) >>$(BUILD)/capacity.out || exit 1; done
	@grep -E '^(RESULT|point) ' $(BUILD)/capacity.out >docs/capacity-shards-figures.txt
	@tools/capacity_shards.py
capacity-check:
	@tools/capacity_shards.py --check
	@python3 tools/capacity.py --check

# The load patterns of bench-load on real processes, with safeguards on and off (SEED=n).
.PHONY: bench-load-live
bench-load-live: all $(BUILD)/bench/load_live
	@$(BUILD)/bench/load_live $(BUILD) $(SEED)

pages-check: capacity-check

# All cases of bench-faults-live, four at a time; takes about three minutes.
.PHONY: faults-live
faults-live: all $(BUILD)/bench/faults_live
	@tools/faults-live.sh $(BUILD)/bench/faults_live

SEEDS ?= 100
# Days of a user's deployment (SITE: its file; BENCH: the program that plays it) with the
# seeds DAY_SEEDS: worth earned and lost, and the loss without each mechanism.
DAYS ?= scale-1,scale-2,trouble-1,trouble-2
DAY_SEEDS ?= 1-4
OUT ?= $(BUILD)/worth
.PHONY: worth ablation
worth:
	@python3 tools/worth.py play $(OUT) --site $(SITE) --days $(DAYS) --seeds $(DAY_SEEDS)
ablation:
	@python3 tools/ablation.py play $(OUT) --site $(SITE) --days $(DAYS) --seeds $(DAY_SEEDS)
	@python3 tools/ablation.py table $(OUT)

# Plays the deployments of docs/REGRESSION.md (SITES: the folder of their files; BENCH: as
# above).
.PHONY: regression
regression:
	@BENCH=$(BENCH) tools/regression.sh $(SITES)

# The scheduler alone under random faults, with a simulated fleet (SEED, STEPS, SEEDS); with
# DAY=day random days of STEPS rounds, with calm spans between.
.PHONY: soak-sched
soak-sched: $(BUILD)/bench/sched_soak
	@$< $(SEED) $(if $(filter 200000,$(STEPS)),$(if $(DAY),4,300),$(STEPS)) $(SEEDS) $(DAY)

$(BUILD)/soak: $(BUILD)/o/soak/soak_main.o $(BUILD)/libbench.a $(BUILD)/libkq.a
	@echo "  LD $@"; $(CC) -o $@ $^ $(LIBS)
# Runner processes are killed and restarted LIVES times in a run, while starts for them are
# pending (SEED, SEEDS).
LIVES ?= 500
.PHONY: lives
lives: all $(BUILD)/bench/lives
	@$(BUILD)/bench/lives $(BUILD) $(SEED) $(SEEDS) $(LIVES)
# Cost of the scheduler's decisions by the size of the fleet, with a node for ten runners.
.PHONY: bench-sched
BENCH_SCHED_SIZES ?= 350,1500,6000,12000
bench-sched: $(BUILD)/bench/sched_load
	@$< $(SEED) $(BENCH_SCHED_SIZES) 1 10
# Real processes under random faults (SEED, SEEDS, SECONDS of faults in each run).
.PHONY: soak-live
soak-live: all $(BUILD)/soak
	@$(BUILD)/soak $(BUILD) $(SEED) $(SEEDS) $(SECONDS)
