# Everything a developer does with this repository. CI calls `make lint`, `make test` and `make build`.

.PHONY: build test lint soak run demo system-demo bench regression

build:
	cargo build --release --locked

# Tests that KNOWN-RED.txt names fail for real faults that are not mended yet: they are printed and passed over.
test:
	@test ! -s KNOWN-RED.txt || { echo "known to fail, passed over:"; cat KNOWN-RED.txt; }
	cargo test --workspace --locked --config 'target."cfg(all())".runner = ["$(CURDIR)/.ci/run-test"]'

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked

# Real processes under series of overlapping faults, for each seed and kind of faults some 25 s, three kinds at once.
# SIZE=large: two hundred processes.
SEEDS ?= 0..50
soak:
	SOAK_SEEDS=$(SEEDS) $(if $(SIZE),SOAK_SIZE=$(SIZE)) cargo test --locked -p millrudder-system --test soak -- --nocapture

# Needs NODE_CONFIG (and may take NODE_LISTEN, NODE_DISCOVERY, NODE_NAME): see docs/operators/balancer.md.
run: build
	exec target/release/millrudder

# Stand-in workers, a dispatcher with both fronts and a small load, in one process, until Ctrl-C.
demo:
	cargo run --release --locked -- demo

# A whole system: edge, storage and core processes on loopback with stand-ins for everything outside, until Ctrl-C.
# ARGUMENTS may be such as "--seconds 30 --rate 50".
system-demo:
	cargo build --profile system --locked -p millrudder-system -p millrudder-system-demo
	exec target/system/millrudder-system-demo $(ARGUMENTS)

# Jobs a second, added latency and memory, both fronts in one run; minutes, and nothing else should run. BEFORE may
# name another build to compare with: make bench BEFORE="taskset -c 0 path/to/millrudder".
bench: build
	cargo build --release --locked -p millrudder-standins
	taskset -c 1-3 target/release/millrudder-bench $(if $(BEFORE),--before "$(BEFORE)")

# The panels that a change must not worsen, one after the other, each by name. KIT names the folder of the bench's
# programs, SITE the site file below it; nothing else may run meanwhile. No part of `make test`.
SITE ?= sites/pasig-records.toml
regression:
	@test -n "$(KIT)" && test -d "$(KIT)" || { echo "regression: KIT must name the folder of the bench, which is not here" >&2; exit 2; }
	$(MAKE) build
	$(KIT)/more/bin/lbreal score $(KIT)/$(SITE) --quick --why "Regression: days at size"
	$(KIT)/more/bin/lbreal score $(KIT)/$(SITE) --panel later --quick --why "Regression: earlier days"
	$(KIT)/more/ops/bin/lbreal score $(KIT)/$(SITE) --quick --why "Regression: operators' days"
	$(KIT)/more/mass/bin/lbreal score $(KIT)/$(SITE) --quick --why "Regression: standing fleet test"
	$(KIT)/bin/lbsim score $(KIT)/$(SITE) --why "Regression: simulator"
