//! The number of requests of a daemon that are in flight.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use super::Board;

/// Counts a request of this daemon as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlight {
    board: Arc<Board>,
}

impl InFlight {
    /// Adds one request to the count.
    pub fn count(board: &Arc<Board>) -> Self {
        board.in_flight.fetch_add(1, Ordering::AcqRel);
        Self { board: Arc::clone(board) }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.board.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}
