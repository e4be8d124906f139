//! `harrierdock-fault-injection`: plays failures against the built gateway, or against its decisions alone, and ends with
//! one JSON line on standard output. Exit code 0 if every property in it holds, 1 if one does not, 2 for bad usage.

use std::process::ExitCode;

fn main() -> ExitCode {
    harrierdock_fault_injection::cli::run()
}
