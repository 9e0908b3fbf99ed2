# Thin front over meson: every target works on a fresh machine.
BUILD ?= build
JOBS ?= 6

.PHONY: all deps build demo test clean

all: build

deps:
	./scripts/packages.sh

$(BUILD)/build.ninja:
	meson setup $(BUILD) --buildtype=debugoptimized -Dwerror=true

build: deps $(BUILD)/build.ninja
	ninja -C $(BUILD) -j $(JOBS)

demo: build
	./scripts/demo.sh $(BUILD)

test: build
	meson test -C $(BUILD) --no-rebuild --print-errorlogs
	./scripts/run-tests.sh $(BUILD)

clean:
	rm -rf build build-asan build-tsan run
