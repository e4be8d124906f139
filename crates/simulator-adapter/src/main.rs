//! `harrierdock-simulator-adapter`: runs the policies of many gateways for a simulator, over standard input and output. If the
//! input is malformed, it prints one line on standard error and exits with status 2.

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
