//! The daemon that runs beside one backend server.

use std::process::ExitCode;
use std::sync::Arc;

use bpaf::Bpaf;
use gypsumtack::{Daemon, Settings, log, reload};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for every failure to start: invalid settings, and addresses that cannot be bound.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// The daemon of one backend server VM. It needs only its settings file; docs/OPERATIONS.md describes
/// the settings.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Check the settings, print the first error, and exit
    check: bool,
    /// The settings file (TOML)
    #[bpaf(positional("SETTINGS"))]
    settings: String,
}

fn main() -> ExitCode {
    let options = options().run();
    let settings = match Settings::read(&options.settings) {
        Ok(settings) => settings,
        Err(error) => return fail(&error),
    };
    if options.check {
        println!("{}: ok", options.settings);
        return ExitCode::SUCCESS;
    }
    log::start();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.limits.threads)
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error),
    };
    runtime.block_on(run(settings, options.settings))
}

async fn run(settings: Settings, path: String) -> ExitCode {
    let (Ok(mut terminate), Ok(mut interrupt), Ok(hangup)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
        signal(SignalKind::hangup()),
    ) else {
        return fail(
            &"signal handlers cannot be installed; start the daemon as an ordinary process",
        );
    };
    let daemon = match Daemon::start(settings).await {
        Ok(daemon) => daemon,
        Err(error) => return fail(&error),
    };
    let read_settings = move || Settings::read(&path);
    tokio::spawn(reload::follow(Arc::clone(daemon.shared()), read_settings, hangup));
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    daemon.stop().await;
    ExitCode::SUCCESS
}

fn fail(error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("gypsumtackd: {error}");
    ExitCode::from(EXIT_INVALID_SETTINGS)
}
