# corianderstep: `make demo` runs the main job, `make check` runs all tests.
PACKAGES := libglib2.0-dev libsoup-3.0-dev libjson-c-dev liblog4c-dev \
	    libmsgpack-dev libgsl-dev pkg-config
LIBS	 := glib-2.0 gio-2.0 gio-unix-2.0 libsoup-3.0 json-c log4c msgpack gsl

BUILD	 ?= build
OPTIMIZE ?= -O2
SANITIZE ?=
CC	 := gcc
# Expanded on use: pkg-config may be installed by the `deps` target.
CFLAGS	  = -std=gnu11 -g $(OPTIMIZE) $(SANITIZE) -Wall -Wextra \
	    -Wno-unused-parameter -Wshadow -Wstrict-prototypes \
	    -Wmissing-prototypes -fno-omit-frame-pointer -I. \
	    $(patsubst -I%,-isystem%,$(shell pkg-config --cflags $(LIBS)))
LDLIBS	  = $(shell pkg-config --libs $(LIBS)) -lm

# Folders that make up the library which every program links.
CORE_DIRS := base client store platform config link shared request request/routing \
	     job job/placement sched entry daemon lib standin/common
CORE_SRC  := $(wildcard $(addsuffix /*.c,$(CORE_DIRS)))
CORE_OBJ  := $(CORE_SRC:%.c=$(BUILD)/%.o)
CORE_LIB  := $(BUILD)/libcorianderstep.a

# Simulations in virtual time, shared by benchmarks and tests.
SIM_SRC	  := $(wildcard bench/sim/*.c)
SIM_OBJ	  := $(SIM_SRC:%.c=$(BUILD)/%.o)
SIM_LIB	  := $(BUILD)/libsim.a

# Each of these files, and each test file, is the main file of one program.
PROG_SRC  := $(wildcard cli/*.c standin/*.c bench/*.c examples/*.c)
PROGS	  := $(patsubst %.c,$(BUILD)/bin/%,$(notdir $(PROG_SRC)))
TEST_SRC  := $(wildcard tests/test_*.c)
TESTS	  := $(patsubst tests/%.c,$(BUILD)/tests/%,$(TEST_SRC))
TEST_LIB  := $(patsubst %.c,$(BUILD)/%.o,$(filter-out $(TEST_SRC),\
	     $(wildcard tests/*.c)))
# The fault soak is one program, built from all files of its folder.
SOAK_OBJ  := $(patsubst %.c,$(BUILD)/%.o,$(wildcard soak/*.c))
SOAK	  := $(BUILD)/bin/cs-soak
ALL_SRC	  := $(CORE_SRC) $(SIM_SRC) $(PROG_SRC) $(wildcard soak/*.c tests/*.c)
ALL_HDR	  := $(wildcard $(addsuffix /*.h,$(CORE_DIRS) cli standin bench bench/sim soak tests))

.PHONY: all deps check demo bench soak soak-delegates format format-check lint clean programs
all: deps
	$(MAKE) --no-print-directory programs

programs: $(PROGS) $(TESTS) $(SOAK)

# Installs what is missing; does nothing on a machine that has everything.
deps:
	@pkg-config --exists $(LIBS) 2>/dev/null || \
		(apt-get update && apt-get install -y $(PACKAGES))

check: all
	tests/run_tests.sh $(BUILD)

demo: all
	demo/demo.sh $(BUILD)

bench: all
	bench/run_bench.sh $(BUILD)

# Runs the seeds of earlier failures and two more.
soak: all
	CS_BUILD=$(BUILD) $(SOAK) --seed-file soak/seeds.txt --seeds 2 --seconds 8

# Runs the soak with a holder that calls workers through the other VMs.
soak-delegates: all
	CS_BUILD=$(BUILD) $(SOAK) --delegates --seeds 3 --seconds 8

$(CORE_LIB): $(CORE_OBJ)
$(SIM_LIB): $(SIM_OBJ)
$(CORE_LIB) $(SIM_LIB):
	@rm -f $@
	ar rcs $@ $^

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -MMD -MP -c $< -o $@

define PROGRAM_RULE
$$(BUILD)/bin/$(notdir $(1:%.c=%)): $$(BUILD)/$(1:%.c=%.o) \
		$(if $(filter bench/%,$(1)),$$(SIM_LIB)) $$(CORE_LIB)
	@mkdir -p $$(@D)
	$$(CC) $$(CFLAGS) $$^ $$(LDLIBS) -o $$@
endef
$(foreach src,$(PROG_SRC),$(eval $(call PROGRAM_RULE,$(src))))

$(SOAK): $(SOAK_OBJ) $(BUILD)/tests/cluster.o $(CORE_LIB)
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) $^ $(LDLIBS) -o $@

$(BUILD)/tests/test_%: $(BUILD)/tests/test_%.o $(TEST_LIB) $(SIM_LIB) $(CORE_LIB)
	$(CC) $(CFLAGS) $^ $(LDLIBS) -o $@

format:
	clang-format -i $(ALL_SRC) $(ALL_HDR)

format-check:
	clang-format --dry-run --Werror $(ALL_SRC) $(ALL_HDR)

lint: deps
	printf '%s\n' $(ALL_SRC) | xargs -P 8 -n 4 sh -c \
		'clang-tidy --quiet "$$@" -- $(CFLAGS) 2>/dev/null' lint

clean:
	rm -rf $(BUILD)

.SECONDARY:
-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
