//! `harrierdock-fault-injection`: injects failures into built gateways, or into simulations of their logic, and prints a
//! report as one JSON line on standard output. Exit code 0 if every property in the report holds, 1 if one doesn't, 2 for
//! bad usage.

use std::process::ExitCode;

fn main() -> ExitCode {
    harrierdock_fault_injection::cli::run()
}
