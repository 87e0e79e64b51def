//! Writes recent claims again after the store has come back from an older copy.

use std::collections::BTreeMap;

use super::{MAX_BATCH, RETRY_INTERVAL};
use crate::claim::Claim;
use crate::error::StoreError;
use crate::recall::{self, Restoration};
use crate::shared::Shared;
use crate::store::{Client, Commit, Row, Transaction};
use crate::sync::lock;

/// Writes the recent claims again whenever the store comes back from an older copy.
pub(super) async fn restore_claims(shared: &Shared) {
    let mut era = shared.store.watch_era();
    while era.changed().await.is_ok() {
        let number = era.borrow_and_update().number;
        shared.board.metrics.store_era.set(number as i64);
        let mut claims = lock(&shared.claims.recent).all();
        let count = claims.len();
        let mut lost = 0;
        while !claims.is_empty() && shared.store.era().number == number {
            let batch = claims.split_off(claims.len().saturating_sub(MAX_BATCH));
            match restore_batch(&shared.store, &batch).await {
                Ok(lost_now) => lost += lost_now,
                Err(_) => {
                    claims.extend(batch);
                    tokio::time::sleep(RETRY_INTERVAL).await;
                }
            }
        }
        let written = count - claims.len() - lost;
        tracing::info!(event = "claims-restored", era = number, written, lost);
    }
}

/// Writes claims again that the store does not hold. Returns how many cannot be restored.
///
/// # Errors
///
/// Returns an error if the batch has to be tried again.
async fn restore_batch(store: &Client, batch: &[(String, Claim)]) -> Result<usize, StoreError> {
    let keys: Vec<String> = batch.iter().map(|(key, _)| key.clone()).collect();
    let rows = store.rows(&keys).await?;
    let rows: BTreeMap<&str, &Row> = rows.iter().map(|row| (row.key.as_str(), row)).collect();
    let mut transaction = Transaction::default();
    let mut lost = 0;
    for (key, claim) in batch {
        match recall::restore(key, rows.get(key.as_str()).copied(), claim) {
            Restoration::Held => {}
            Restoration::Write(change) => {
                transaction.checks.extend(change.checks);
                transaction.writes.extend(change.writes);
            }
            Restoration::Lost => {
                lost += 1;
                tracing::error!(event = "claim-lost", request = claim.request, key);
            }
        }
    }
    if transaction.writes.is_empty() {
        return Ok(lost);
    }
    match store.commit(&transaction).await? {
        Commit::Done(_) => Ok(lost),
        Commit::Conflict(_) => Err(StoreError::Unavailable("a row changed".to_owned())),
    }
}
