//! Settings that change while a daemon runs.
//!
//! The file is read again on a hangup signal, and once a second for changes that nobody announces. What can
//! be taken without a restart is taken: the store's address. A file that cannot be read changes nothing.
//! docs/OPERATIONS.md, "Settings", tells operators.

use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::Signal;

use crate::error::Result;
use crate::settings::Settings;
use crate::shared::Shared;

/// How often the file is read. It has some hundred bytes, and a change is in force within this time.
const LOOK_PERIOD: Duration = Duration::from_secs(1);

/// Follows the settings until the daemon ends.
pub async fn follow(shared: Arc<Shared>, read: impl Fn() -> Result<Settings>, mut hangup: Signal) {
    let vm = &shared.board.settings.vm;
    let mut known = shared.board.settings.platform.address;
    let mut complaint = String::new();
    loop {
        tokio::select! {
            _ = hangup.recv() => tracing::info!(event = "settings-read", vm),
            () = tokio::time::sleep(LOOK_PERIOD) => {}
        }
        match read() {
            Ok(settings) => {
                complaint.clear();
                let address = settings.platform.address;
                if address != known {
                    tracing::info!(event = "settings-taken", vm, key = "platform.address", %address);
                    shared.store.set_address(address);
                    known = address;
                }
            }
            // A file that is being written is complained of once, not each second.
            Err(error) if complaint != error.to_string() => {
                tracing::warn!(event = "settings-rejected", vm, %error);
                complaint = error.to_string();
            }
            Err(_) => {}
        }
    }
}
