//! One VM's side of a customer's row: what it proposes, and what it makes of the answer.
//!
//! It is pure, so that the history check runs it against the table's stand-in with lost and delayed
//! answers. docs/DESIGN.md, "Rates and bursts".

use crate::lease::{self, Leases};
use crate::share::{Ask, Holding, Shares};
use crate::store::{Row, Transaction};
use crate::time::Time;

/// Until when a share is good, if it is not renewed.
#[derive(Debug, Clone, Copy)]
pub struct Term {
    /// When all but the floor ends.
    pub lease_end: Time,
    /// When the floor ends too.
    pub floor_end: Time,
}

/// One customer's row, as it was just read.
#[derive(Debug, Clone, Copy)]
pub struct Reading<'a> {
    /// The row's key.
    pub key: &'a str,
    /// The row; `None` when there is none yet.
    pub row: Option<&'a Row>,
    /// Leases as this VM has seen them.
    pub leases: &'a Leases,
    /// Until when this VM's own share is good.
    pub term: Term,
}

/// What became of a proposed row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Written {
    /// It took effect.
    Done,
    /// Nothing took effect, because the row or a lease changed.
    Conflict,
    /// Nobody knows; it may even take effect later.
    Lost,
}

/// A proposed row.
#[derive(Debug)]
pub struct Proposal {
    /// Writes the row.
    pub transaction: Transaction,
    parts: u32,
    first: bool,
}

/// What one VM remembers about one customer's row.
#[derive(Debug, Default)]
pub struct Keeper {
    /// Whether a write of unknown outcome may still change the row. Until a later write rules that
    /// out, the share may only become smaller.
    doubtful: bool,
}

impl Keeper {
    /// Adopts what was read of the row and proposes the next, or `None` when nothing is to change.
    ///
    /// The share shrinks here, before the table is told; it grows only in [`Self::resolve`].
    pub fn propose(
        &mut self,
        holding: &mut Holding,
        reading: Reading<'_>,
        ask: &Ask<'_>,
        now: Time,
    ) -> Option<Proposal> {
        let Reading { row, term, .. } = reading;
        let current: Shares = row.and_then(Row::decode).unwrap_or_default();
        let own = current.parts_of(ask.vm);
        let parts = if self.doubtful { own.min(holding.parts()) } else { own };
        holding.adopt(parts, term.lease_end, term.floor_end, now);
        let next = current.plan(ask);
        if next == current && !self.doubtful {
            return None;
        }
        let parts = next.parts_of(ask.vm);
        holding.shrink(parts, now);
        self.doubtful = true;
        let transaction = reassignment(reading, &current, &next);
        Some(Proposal { transaction, parts, first: row.is_none() })
    }

    /// Takes the answer to a proposal.
    pub fn resolve(
        &mut self,
        holding: &mut Holding,
        proposal: &Proposal,
        written: Written,
        term: Term,
        now: Time,
    ) {
        self.doubtful = written == Written::Lost;
        if written != Written::Done {
            return;
        }
        holding.adopt(proposal.parts, term.lease_end, term.floor_end, now);
        if proposal.first {
            holding.fill(now);
        }
    }
}

/// The transaction from one row to the next. A renewal that comes in between must win over a
/// reassignment, so the leases of those who lose a share are checked.
fn reassignment(reading: Reading<'_>, current: &Shares, next: &Shares) -> Transaction {
    let Reading { key, row, leases, .. } = reading;
    let version = row.map_or(0, |row| row.version);
    let mut transaction = Transaction::default().check(key, version).put(key, next);
    for (vm, owner) in &current.owners {
        let loses = next.owners.get(vm).is_none_or(|next| next.lapsed);
        if loses && !owner.lapsed {
            transaction = transaction.check(&lease::key(vm), leases.version(vm));
        }
    }
    transaction
}
