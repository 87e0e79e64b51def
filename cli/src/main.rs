//! Command line tool for operators.

mod commands;
mod options;
mod output;

use std::process::ExitCode;

fn main() -> ExitCode {
    let options = options::options().run();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("gypsumtack: {error}");
            return output::EXIT_FAILURE;
        }
    };
    runtime.block_on(commands::run(options))
}
