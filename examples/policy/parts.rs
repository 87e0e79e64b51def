//! What the fakes are made of: requests, calls and VMs.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use gypsumtack::bucket::TokenBucket;
use gypsumtack::document::CustomerId;
use gypsumtack::feedback::Feedback;
use gypsumtack::guard::Ticket;
use gypsumtack::intake::Intake;
use gypsumtack::overload::OverloadController;
use gypsumtack::tables::Tables;
use gypsumtack::time::Time;

/// One request of a caller, as it is sent.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// Tells the request from others, however often it is sent.
    pub id: u64,
    pub customer: CustomerId,
    pub weight: u32,
    pub route: usize,
    /// When its caller first sent it.
    pub first: Time,
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
    /// Refused without having run, with the time after which to come back.
    Refused(Time),
    /// Anything else.
    Failed,
}

pub type FrameId = usize;
pub type RootId = usize;

#[derive(Clone, Copy)]
pub enum Event {
    Arrive(Request),
    Offer(FrameId),
    Worked(FrameId, u32),
    Answered(FrameId, bool),
    WaitOver(FrameId, Ticket),
    Deadline(RootId),
    Restart(usize),
    Decide,
}

pub struct Root {
    pub request: Request,
    pub open: bool,
    pub frames: Vec<FrameId>,
}

/// One call to a service, with all its attempts.
pub struct Frame {
    pub root: RootId,
    pub parent: Option<FrameId>,
    pub daemon: usize,
    pub route: usize,
    pub tried: BTreeSet<usize>,
    pub state: Stage,
    /// Calls that were made, and those of them that have been answered.
    pub made: usize,
    pub answered: usize,
    pub began: Time,
    pub crashed: bool,
    pub refused: bool,
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
    pub name: String,
    pub service: usize,
    pub domain: usize,
    pub speed: f64,
    pub intake: Intake,
    pub feedback: Feedback,
    pub room: OverloadController,
    pub tables: Tables,
    pub tickets: BTreeMap<Ticket, FrameId>,
    pub fifo: VecDeque<FrameId>,
    pub running: usize,
    /// What the answers of each VM said of its load, and of the time that it takes.
    pub reported: Vec<(u32, u32)>,
    pub sent: Vec<u32>,
    pub retries: Vec<TokenBucket>,
    pub epoch: u32,
    pub down: bool,
}
