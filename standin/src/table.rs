//! In-memory stand-in for the platform's transactional table.

use std::collections::BTreeMap;

use gypsumtack::store::{Check, Commit, Row, Rows, Transaction};

/// A table whose transactions are applied one after the other.
#[derive(Debug, Clone, Default)]
pub struct Table {
    rows: BTreeMap<String, Row>,
    deleted: BTreeMap<String, u64>,
    commits: u64,
}

impl Table {
    /// Commits a transaction if all its checks match the current versions; otherwise returns the failed
    /// checks with the current versions.
    pub fn commit(&mut self, transaction: &Transaction) -> Commit {
        let failed: Vec<Check> = transaction
            .checks
            .iter()
            .filter(|check| self.version(&check.key) != check.version)
            .map(|check| Check { key: check.key.clone(), version: self.version(&check.key) })
            .collect();
        if !failed.is_empty() {
            return Commit::Conflict(failed);
        }
        self.commits += 1;
        for write in &transaction.writes {
            match &write.value {
                Some(value) => {
                    let (key, value) = (write.key.clone(), value.clone().into());
                    self.deleted.remove(&key);
                    self.rows.insert(key.clone(), Row { key, version: self.commits, value });
                }
                None => {
                    if self.rows.remove(&write.key).is_some() {
                        self.deleted.insert(write.key.clone(), self.commits);
                    }
                }
            }
        }
        Commit::Done(self.commits)
    }

    /// Returns the row with this key.
    pub fn row(&self, key: &str) -> Option<&Row> {
        self.rows.get(key)
    }

    /// Iterates over the rows whose keys start with `prefix`, ordered by key.
    pub fn scan<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Row> {
        let from = self.rows.range(prefix.to_owned()..);
        from.take_while(move |(key, _)| key.starts_with(prefix)).map(|(_, row)| row)
    }

    /// Returns the changes under `prefix` after commit number `after`: changed rows in commit order, and
    /// deleted keys in key order.
    pub fn changes(&self, prefix: &str, after: u64) -> Rows {
        let mut rows: Vec<Row> =
            self.scan(prefix).filter(|row| row.version > after).cloned().collect();
        rows.sort_by_key(|row| row.version);
        let deleted = self.deleted.iter().filter(|(key, _)| key.starts_with(prefix));
        let deleted = deleted.filter(|(_, commit)| **commit > after).map(|(key, _)| key.clone());
        Rows { rows, deleted: deleted.collect(), version: self.commits, ..Rows::default() }
    }

    /// Returns the number of committed transactions, which is the table's version.
    pub fn commits(&self) -> u64 {
        self.commits
    }

    fn version(&self, key: &str) -> u64 {
        self.rows.get(key).map_or(0, |row| row.version)
    }
}
