//! Runs a stand-in for a backend server as a separate process.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use bpaf::Bpaf;
use gypsumtack_standin::backend::{Backend, Observations, Plan};

/// A stand-in for a backend server. It announces itself to the local daemon. A request with the
/// header x-crash crashes it.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Name of the service
    #[bpaf(argument("NAME"))]
    service: String,
    /// Number of requests that it can run concurrently
    #[bpaf(argument("SLOTS"), fallback(20), display_fallback)]
    slots: u32,
    /// Service time of a request without its downstream calls, in milliseconds
    #[bpaf(argument("MS"), fallback(10), display_fallback)]
    service_ms: u64,
    /// How long the service time stays tripled after the start, in milliseconds
    #[bpaf(argument("MS"), fallback(0), display_fallback)]
    cold_ms: u64,
    /// Path of a downstream call made for each request; may be given more than once
    #[bpaf(argument("PATH"))]
    call: Vec<String>,
    /// Egress address of the local daemon
    #[bpaf(argument("ADDRESS"))]
    egress: SocketAddr,
    /// Operators' address of the local daemon
    #[bpaf(argument("ADDRESS"))]
    operators: SocketAddr,
}

#[tokio::main]
async fn main() -> ExitCode {
    let options = options().run();
    let plan = Plan {
        service: options.service,
        slots: options.slots,
        service_ms: options.service_ms,
        calls: options.call,
        cold_ms: options.cold_ms,
    };
    let observations = Arc::new(Observations::default());
    match Backend::start(plan, options.egress, options.operators, observations).await {
        Ok(backend) => {
            println!("backend server stand-in on {}", backend.address());
            tokio::select! {
                _ = tokio::signal::ctrl_c() => ExitCode::SUCCESS,
                () = backend.crashed() => ExitCode::from(70),
            }
        }
        Err(error) => {
            eprintln!("standin-backend: cannot start: {error}; free a port on 127.0.0.1");
            ExitCode::from(2)
        }
    }
}
