# The tasks of this repository; each is what its name says.
CONFIG ?= $(GW_CONFIG)

.PHONY: build test lint run demo check-ajp bench-ajp check-connection-admission check-admission bench-admission check-fleet bench-fleet check-idempotency check-results bench-results check-log-store check-keep bench-keep check-routes bench-routes check-saturation check-service bench-service check-simulator check-seeds bench-seeds
build:
	cargo build --locked --release

# SKIP: options of the test programs, as .ci/known-red prints them; none unless KNOWN-RED.txt is there.
test:
	cargo test --workspace --locked$(if $(SKIP), -- $(SKIP))

lint:
	cargo fmt --all --check
	cargo clippy --workspace --locked --all-targets -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --workspace --locked --no-deps

# make run CONFIG=config.json
run: build
	target/release/cleatpulley serve --config $(CONFIG)

# Stand-ins, a matcher and callers by frames and by AJP, in under 20 s.
demo: build
	target/release/cleatpulley demo

# The AJP front measured beside httparse and beside frames; 1 where it falls short.
check-ajp bench-ajp: build
	target/release/cleatpulley check ajp

# What kept results cost and withstand, on this disk; 1 where it falls short.
check-idempotency check-results bench-results: build
	target/release/cleatpulley check idempotency

# Look-ups, imports, expectations and a gateway before troubled targets; 1 where it falls short.
check-routes bench-routes: build
	target/release/cleatpulley check routes

# A fleet's plan, its planner and a replacement under load; 1 where it falls short.
check-fleet: build
	target/release/cleatpulley check fleet

bench-fleet: build
	target/release/cleatpulley check fleet --long

# Operators beside crowds, upgrades under load, and both from seeds with injected bugs; 1 where it falls short.
check-service bench-service:
	cargo build --locked --release --features bug-injection --target-dir target/bug-injection
	target/bug-injection/release/cleatpulley check service

# What a decision on a connection costs at a million addresses, and who is served in a flood; 1 where it falls short.
check-connection-admission check-admission bench-admission:
	cargo build --locked --release --features bug-injection --target-dir target/bug-injection
	target/bug-injection/release/cleatpulley check connection-admission

# How well the queueing model tells where upstreams saturate, and what a bound by it serves; 1 where it falls short.
check-saturation:
	cargo build --locked --release -p cleatpulley-saturation-bench
	target/release/cleatpulley-saturation-bench

# Whole servers on a virtual clock: speed, coverage, and injected bugs, for which it is built once more.
check-simulator check-seeds bench-seeds:
	cargo build --locked --release --features bug-injection --target-dir target/bug-injection
	target/bug-injection/release/cleatpulley check simulator

# The embedded store beside a plain append-only file and a map on this disk; 1 where it falls short.
check-log-store check-keep bench-keep:
	cargo build --locked --release -p cleatpulley-log-store-bench
	target/release/cleatpulley-log-store-bench
