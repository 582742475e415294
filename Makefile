# The commands of the project; each exits non-zero on failure and ends with one line of figures.
.PHONY: soak tsan demo test fault-matrix measure bench lint format proto install release

install:
	@scripts/install-deps.sh

release: install
	@cmake -S . -B build/release -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
	@cmake --build build/release --target wisteriahoist wisteriahoist-standin

demo: release
	@build/release/wisteriahoist-standin demo --node_binary build/release/wisteriahoist --directory build/demo --declarations examples/poteglad

test: install
	@scripts/test.sh

fault-matrix: install
	@cmake -S . -B build/release -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
	@cmake --build build/release --target fault-matrix
	@build/release/tool/fault_matrix/fault-matrix

bench: release
	@cmake --build build/release --target wisteriahoist-bench
	@build/release/tool/bench/wisteriahoist-bench build/release/wisteriahoist build/release/wisteriahoist-standin build/bench

measure: install
	@cmake -S . -B build/release -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
	@cmake --build build/release --target wisteriahoist-measure
	@build/release/tool/measure/wisteriahoist-measure build/measure

tsan: install
	@cmake -S . -B build/tsan -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo -DWH_SANITIZE=thread >/dev/null
	@cmake --build build/tsan --target tsan-check
	@build/tsan/test/tsan/tsan-check

lint: install
	@scripts/lint.sh

format:
	@git ls-files --cached --others --exclude-standard 'platform/*.cpp' 'platform/*.h' 'src/*.cpp' 'src/*.h' 'test/*.cpp' 'test/*.h' 'tool/*.cpp' 'tool/*.h' | grep -v '^src/generated/' | xargs clang-format -i

proto:
	@scripts/generate-proto.sh

# SEEDS like 3,7..9; a seed takes about 40 s, JOBS of them run at the same time.
SEEDS ?= 1..4
JOBS ?= 3
# BY_HEARTBEAT=true: keys are granted in the answers to heartbeats, lives keep their ids.
BY_HEARTBEAT ?= false
# Like --crashing_requests --named_limits --announced_leaving; docs/design/soak.md.
FLAGS ?=
soak: release
	@cmake --build build/release --target wisteriahoist-soak
	@build/release/tool/soak/wisteriahoist-soak --seeds=$(SEEDS) --jobs=$(JOBS) --by_heartbeat=$(BY_HEARTBEAT) --node_binary=build/release/wisteriahoist $(FLAGS)
