//! The demo.

use gypsumtack::Result;
use serde::Serialize;

/// What the demo found.
#[derive(Debug, Serialize)]
pub struct Report {}

impl Report {
    /// The report as text.
    pub fn table(&self) -> String {
        String::new()
    }

    /// How many promises were broken.
    pub fn broken(&self) -> usize {
        0
    }
}

/// Runs the demo.
pub async fn run(_seed: u64, _progress: bool) -> Result<Report> {
    Ok(Report {})
}
