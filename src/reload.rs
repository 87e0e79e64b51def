//! Reloads the settings file while a daemon runs.
//!
//! The file is read again on a hangup signal, and once a second to find changes that no signal
//! announced. Only the store's address and the identity of the local backend server can change without a
//! restart. A file that cannot be read or parsed changes nothing. docs/OPERATIONS.md, "Settings", describes
//! this for operators.

use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::Signal;

use crate::error::Result;
use crate::settings::Settings;
use crate::shared::Shared;

/// Interval between reads of the file, and so the longest time until a change is applied. The file has a
/// few hundred bytes, so that reading it this often is cheap.
const RELOAD_INTERVAL: Duration = Duration::from_secs(1);

/// Reads the settings with `read` and applies changes until the daemon stops.
pub async fn follow(shared: Arc<Shared>, read: impl Fn() -> Result<Settings>, mut hangup: Signal) {
    let vm = &shared.board.settings.vm;
    let mut current = shared.board.settings.platform.address;
    let mut last_error = String::new();
    loop {
        tokio::select! {
            _ = hangup.recv() => tracing::info!(event = "settings-read", vm),
            () = tokio::time::sleep(RELOAD_INTERVAL) => {}
        }
        match read() {
            Ok(settings) => {
                last_error.clear();
                shared.board.set_identity(settings.identity());
                let address = settings.platform.address;
                if address != current {
                    tracing::info!(event = "settings-taken", vm, key = "platform.address", %address);
                    shared.store.set_address(address);
                    current = address;
                }
            }
            // The same error is logged once, not every second, for example while the file is being
            // written.
            Err(error) if last_error != error.to_string() => {
                tracing::warn!(event = "settings-rejected", vm, %error);
                last_error = error.to_string();
            }
            Err(_) => {}
        }
    }
}
