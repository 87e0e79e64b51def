//! What the fakes are made of: requests, calls and VMs.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use gypsumtack::bucket::Bucket;
use gypsumtack::document::CustomerId;
use gypsumtack::guard::{Guard, Ticket};
use gypsumtack::level::{Cuts, Levels};
use gypsumtack::retry::Ledger;
use gypsumtack::time::Time;

/// One request of a caller, as it is sent.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    pub customer: CustomerId,
    pub weight: u32,
    pub route: usize,
    pub sent: Time,
    pub deadline: Time,
    /// How often its caller has sent it again.
    pub resent: u32,
    /// Whether it crashes the instance that runs it.
    pub crashes: bool,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    Whole,
    OverRate,
    Shed,
}

pub type FrameId = usize;
pub type RootId = usize;

#[derive(Clone, Copy)]
pub enum Event {
    Arrive(Request),
    Offer(FrameId),
    Worked(FrameId, u32),
    Answered(FrameId, bool, f32),
    WaitOver(FrameId, Ticket),
    Deadline(RootId),
    Restart(usize),
}

pub struct Root {
    pub request: Request,
    pub passed: f32,
    pub open: bool,
    pub frames: Vec<FrameId>,
}

/// One call to a service, with all its attempts.
pub struct Frame {
    pub root: RootId,
    pub parent: Option<FrameId>,
    pub daemon: usize,
    pub service: usize,
    pub tried: BTreeSet<usize>,
    pub ledger: Ledger,
    pub lent: u32,
    pub state: Stage,
    pub next_call: usize,
    pub began: Time,
    pub level: f32,
    pub crashed: bool,
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    Sent(usize),
    Waiting(usize, Ticket),
    Running(usize),
    Over,
}

/// One VM: an instance, and the daemon beside it.
pub struct Vm {
    pub service: usize,
    pub domain: usize,
    pub guard: Guard,
    pub levels: Levels,
    pub tickets: BTreeMap<Ticket, FrameId>,
    pub fifo: VecDeque<FrameId>,
    pub running: usize,
    pub reported: Vec<u32>,
    pub sent: Vec<u32>,
    pub cuts: Vec<Cuts>,
    pub retries: Vec<Bucket>,
    pub epoch: u32,
    pub down: bool,
}
