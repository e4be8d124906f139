//! Link options of the program `harrierdock` that shorten its start. Before `main`, the dynamic linker loads the program's
//! libraries and relocates the pointers in its constant data; these options leave less of both.

use std::env;

fn main() {
    println!("cargo::rerun-if-changed=build.rs");
    if cargo_variable("CARGO_CFG_TARGET_OS") != "linux"
        || cargo_variable("CARGO_CFG_TARGET_ENV") != "gnu"
    {
        return;
    }
    // At a fixed address, pointers in constant data need no relocation. In exchange, the addresses of the program's own code
    // and constants are predictable; those of the libraries, the heap and the stack remain random.
    println!("cargo::rustc-link-arg-bin=harrierdock=-no-pie");
    // Links the unwinder statically, so that libgcc_s isn't loaded.
    println!("cargo::rustc-link-lib=static:-bundle=gcc_eh");
}

fn cargo_variable(name: &str) -> String {
    env::var(name).unwrap_or_default()
}
