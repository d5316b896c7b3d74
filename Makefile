BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all deps build test run calm-day format lint soak bench-policy clean

all: build

deps:
	scripts/install-packages

build:
	cmake -S . -B $(BUILD) -G Ninja >/dev/null
	cmake --build $(BUILD) -j $(JOBS)

test: build
	scripts/run-tests $(BUILD)

run:
	scripts/run-demo $(ARGS)

# One calm day on the users' bench: make calm-day BENCH=... SITE=...
calm-day: deps
	$(BENCH) run $(SITE) quiet-1

format:
	scripts/check-format --fix

lint:
	cmake -S . -B $(BUILD) -G Ninja >/dev/null
	scripts/check-lint $(BUILD)

# Randomized faults on the real programs: make soak ARGS="--seeds 1-50".
soak: build
	tests/soak/soak.py $(ARGS)

bench-policy:
	scripts/bench-policy $(ARGS)

clean:
	rm -rf $(BUILD)
