//! The operators' command line.

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
            return output::FAILED;
        }
    };
    runtime.block_on(commands::run(options))
}
