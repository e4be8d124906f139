//! Link options of the program `harrierdock`. They make its start cheaper: before `main`, the dynamic linker loads the libraries
//! that the program names and relocates the pointers in its constant data.

use std::env;

fn main() {
    println!("cargo::rerun-if-changed=build.rs");
    if cargo_variable("CARGO_CFG_TARGET_OS") != "linux"
        || cargo_variable("CARGO_CFG_TARGET_ENV") != "gnu"
    {
        return;
    }
    // At a fixed address, pointers in constant data need no relocation. The price is that the program's own code and constants
    // stand at known addresses; the libraries, the heap and the stack remain at random ones.
    println!("cargo::rustc-link-arg-bin=harrierdock=-no-pie");
    // The unwinder becomes part of the program, so that libgcc_s need not be loaded.
    println!("cargo::rustc-link-lib=static:-bundle=gcc_eh");
}

fn cargo_variable(name: &str) -> String {
    env::var(name).unwrap_or_default()
}
