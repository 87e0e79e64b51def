//! Runs the stand-in for the platform as a separate process.

use std::net::SocketAddr;
use std::process::ExitCode;

use bpaf::Bpaf;
use gypsumtack_standin::platform::Platform;

/// A stand-in for the platform's table and object store, which holds all data in memory. To inject
/// faults, POST {"down":true}, {"slow_ms":500} or {"lose_answers":0.1} to /faults.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Address to listen on
    #[bpaf(argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 9400))), display_fallback)]
    listen: SocketAddr,
    /// Seed for the choice of the answers that are lost
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
            eprintln!(
                "standin-platform: cannot listen on {}: {error}; free the address or set another",
                options.listen
            );
            ExitCode::from(2)
        }
    }
}
