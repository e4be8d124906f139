//! `harrierdock-simulator-adapter`: the policies of many gateways behind the simulator's wire, on standard input and output.
//! Exits with 2 and one line on standard error if the input is malformed.

use std::io;
use std::process::ExitCode;

use harrierdock_simulator_adapter::serve;

const EXIT_MALFORMED_INPUT: u8 = 2;

fn main() -> ExitCode {
    match serve(io::stdin().lock(), io::BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let message = error.to_string().replace('\n', " ");
            eprintln!("harrierdock-simulator-adapter: {message}");
            ExitCode::from(EXIT_MALFORMED_INPUT)
        }
    }
}
