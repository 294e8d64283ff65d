# Entry points for users and CI. Each target installs missing packages and builds what changed.
BUILD ?= build

SEED ?= 1
SECONDS ?= 60

.PHONY: all packages build test demo bench soak capacity format lint proto

all: build

packages:
	@scripts/installpackages.sh

build: packages
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo > /dev/null
	@cmake --build $(BUILD)

test: build
	@scripts/runtests.sh $(BUILD)

demo: build
	@scripts/demo.py --build $(BUILD)

bench: build
	@scripts/bench.sh $(BUILD)

soak: build
	@python3 platform/standin/soak/soak.py --daemon $(BUILD)/platform/banyanwall-flowd --seed $(SEED) \
	    --seconds $(SECONDS) --out $(BUILD)/soak-$(SEED)

capacity: build
	@scripts/capacity.py --build $(BUILD)

format:
	@find src platform -name '*.h' -o -name '*.cpp' | grep -v /generated/ | xargs clang-format -i

lint: build
	@scripts/checklint.sh $(BUILD)

proto: packages
	@scripts/generateprotobuf.sh
