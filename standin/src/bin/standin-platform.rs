//! The platform stand-in as a process of its own.

use std::net::SocketAddr;
use std::process::ExitCode;

use bpaf::Bpaf;
use gypsumtack_standin::platform::Platform;

/// A stand-in for the platform's table and object store. It keeps everything in memory. POST
/// {"down":true}, {"slow_ms":500} or {"lose_answers":0.1} to /faults to make it fail.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Where to listen
    #[bpaf(argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 9400))), display_fallback)]
    listen: SocketAddr,
    /// Seed for which answers are lost
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    seed: u64,
}

#[tokio::main]
async fn main() -> ExitCode {
    let options = options().run();
    match Platform::start(options.listen, options.seed).await {
        Ok(platform) => {
            println!("platform stand-in on {}", platform.address());
            let _ = tokio::signal::ctrl_c().await;
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("standin-platform: {}: {error}; free the address", options.listen);
            ExitCode::from(2)
        }
    }
}
