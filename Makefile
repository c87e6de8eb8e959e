# The tasks of this repository; each is what its name says.
CONFIG ?= $(GW_CONFIG)

.PHONY: build test lint run
build:
	cargo build --locked --release

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --locked --all-targets -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --workspace --locked --no-deps

# make run CONFIG=config.json
run: build
	target/release/cleatpulley serve --config $(CONFIG)
