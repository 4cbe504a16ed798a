# Runs what CI runs.
ci:
    .ci/run

# Runs README's first command.
single:
    cargo run --release --locked --bin celerycoved -- --config etc/single.ini

# Runs the tests.
test:
    cargo test --workspace --locked

# Runs many seeds of the randomised runs.
proof seeds="1000":
    cargo run --release --locked --bin celerycove-proof -- --seeds {{seeds}}

# Breaks the code in a copy and tells which seed notices.
mutate seeds="12000":
    .ci/mutate {{seeds}}

# Prints the figures of docs/CAPACITY.md.
capacity:
    cargo build --release --locked
    target/release/celerycove-bench slopes
    target/release/celerycove-bench overhead
