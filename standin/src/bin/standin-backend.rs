//! The backend server stand-in as a process of its own.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use bpaf::Bpaf;
use gypsumtack_standin::backend::{Backend, Observations, Plan};

/// A stand-in for a backend server. It announces itself to the daemon beside it. A request with the
/// header x-crash ends it.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// The service that it runs
    #[bpaf(argument("NAME"))]
    service: String,
    /// Requests that it runs at once
    #[bpaf(argument("SLOTS"), fallback(20), display_fallback)]
    slots: u32,
    /// How long a request takes, in milliseconds
    #[bpaf(argument("MS"), fallback(10), display_fallback)]
    service_ms: u64,
    /// How long it is slow after its start, in milliseconds
    #[bpaf(argument("MS"), fallback(0), display_fallback)]
    cold_ms: u64,
    /// A path that it calls on to for each request; may be given more than once
    #[bpaf(argument("PATH"))]
    call: Vec<String>,
    /// The daemon's egress address
    #[bpaf(argument("ADDRESS"))]
    egress: SocketAddr,
    /// The daemon's operators' address
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
    let seen = Arc::new(Observations::default());
    match Backend::start(plan, options.egress, options.operators, seen).await {
        Ok(backend) => {
            println!("backend server stand-in on {}", backend.address());
            tokio::select! {
                _ = tokio::signal::ctrl_c() => ExitCode::SUCCESS,
                () = backend.crashed() => ExitCode::from(70),
            }
        }
        Err(error) => {
            eprintln!("standin-backend: {error}; free a port on 127.0.0.1");
            ExitCode::from(2)
        }
    }
}
