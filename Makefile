# Thin front over meson: every target works on a fresh machine.
BUILD ?= build
JOBS ?= 6
# Runs all tests, and passes over those that KNOWN-RED.txt lists, which it prints.
MESON_TEST ?= ./scripts/meson_test.sh

.PHONY: all deps build demo test asan tsan soak lint format clean
.PHONY: bench-capacity bench-config bench-failover bench-fairness
.PHONY: bench-limits bench-overhead bench-stop

all: build

deps:
	./scripts/packages.sh

$(BUILD)/build.ninja:
	meson setup $(BUILD) --buildtype=debugoptimized -Dwerror=true

build: deps $(BUILD)/build.ninja
	ninja -C $(BUILD) -j $(JOBS)

# Runs Hanmae's and Kajaste's programs on stand-ins.
demo: build
	./scripts/demo.sh $(BUILD)

# Unit tests, properties, models, and the functional tests.
test: build
	$(MESON_TEST) -C $(BUILD) --no-rebuild --print-errorlogs

# The same tests, but for the models and the fleets of processes, with
# AddressSanitizer and UBSan.
asan: deps
	test -e build-asan || meson setup build-asan --buildtype=debugoptimized \
	  -Dwerror=true -Db_sanitize=address,undefined -Db_lundef=false
	ninja -C build-asan -j $(JOBS)
	$(MESON_TEST) -C build-asan --no-rebuild --print-errorlogs --no-suite model --no-suite fleet

# The functional tests, which run the threads, with ThreadSanitizer.  It does
# not see the locks under which GLib hands slices from thread to thread.
tsan: deps
	test -e build-tsan || meson setup build-tsan --buildtype=debugoptimized \
	  -Dwerror=true -Db_sanitize=thread -Db_lundef=false
	ninja -C build-tsan -j $(JOBS)
	G_SLICE=always-malloc TSAN_OPTIONS=suppressions=$(abspath scripts/tsan.supp) \
	  $(MESON_TEST) -C build-tsan --no-rebuild --print-errorlogs --suite functional

# The programs under random faults; SEED names which.
SEED ?= 1
SECONDS ?= 8
soak: build
	$(BUILD)/soak/soak --build $(abspath $(BUILD)) --seed $(SEED) --seconds $(SECONDS)

# Each prints a JSON line a figure: figure, value, unit, bound, met.
bench-capacity bench-fairness bench-limits: build
	$(BUILD)/bench/$@

bench-config bench-failover bench-overhead bench-stop: build
	./bench/$(@:bench-%=%).sh $(abspath $(BUILD))

lint: build
	./scripts/format.sh --check
	./scripts/lint.sh $(BUILD)

format:
	./scripts/format.sh

clean:
	rm -rf build build-asan build-tsan
