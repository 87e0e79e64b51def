//! Data types of the simulation: requests, calls, events and VMs.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use gypsumtack::bucket::TokenBucket;
use gypsumtack::document::CustomerId;
use gypsumtack::feedback::Feedback;
use gypsumtack::guard::Ticket;
use gypsumtack::instance;
use gypsumtack::intake::Intake;
use gypsumtack::overload::OverloadController;
use gypsumtack::tables::Tables;
use gypsumtack::time::Time;

/// A request as a caller sends it; each resend is a new value with the same id.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// Identifies the request; resends keep it.
    pub id: u64,
    pub customer: CustomerId,
    pub weight: u32,
    /// Index of the route in the deployment.
    pub route: usize,
    /// Time at which the caller sent the request for the first time.
    pub first: Time,
    /// Time of this send.
    pub sent: Time,
    pub deadline: Time,
    /// Number of times that the caller has resent the request.
    pub resent: u32,
    /// Whether the request crashes the instance that runs it.
    pub crashes: bool,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Answered successfully.
    Whole,
    /// Refused because the customer exceeded its rate.
    OverRate,
    /// Refused without having run, with the time after which the caller may resend.
    Refused(Time),
    /// Any other end: a failed call, a missed deadline or a quarantined request.
    Failed,
}

/// Index of a [`Frame`] in the simulation.
pub type FrameId = usize;
/// Index of a [`Root`] in the simulation.
pub type RootId = usize;

/// A scheduled event of the simulation.
#[derive(Clone, Copy)]
pub enum Event {
    /// A request reaches an entry.
    Arrive(Request),
    /// An attempt reaches the daemon of the instance that was chosen for it.
    Offer(FrameId),
    /// An instance completes its own work on a call. The epoch tells whether it has crashed since.
    Worked(FrameId, u32),
    /// The answer to an attempt reaches the calling daemon; true for a successful one.
    Answered(FrameId, bool),
    /// The maximum queue wait of an attempt has passed.
    WaitOver(FrameId, Ticket),
    /// The deadline of a request has passed.
    Deadline(RootId),
    /// A crashed VM is available again.
    Restart(usize),
    /// The daemons update the shares of requests that they refuse.
    Decide,
}

/// A request that reached an entry, with all calls that it caused.
pub struct Root {
    pub request: Request,
    /// Whether the request has not ended yet.
    pub open: bool,
    pub frames: Vec<FrameId>,
}

/// A call to a service, with all its attempts.
pub struct Frame {
    pub root: RootId,
    /// Call whose handler sent this call; `None` for the call that an entry sends for a caller.
    pub parent: Option<FrameId>,
    /// VM whose daemon sends the attempts.
    pub daemon: usize,
    /// Index of the route in the deployment.
    pub route: usize,
    /// VMs to which an attempt was sent.
    pub tried: BTreeSet<usize>,
    pub state: Stage,
    /// Number of downstream calls that the current attempt has made.
    pub made: usize,
    /// Number of those downstream calls that were answered successfully.
    pub answered: usize,
    /// Start of the latest run on an instance.
    pub began: Time,
    /// Whether the instance crashed during the attempt, until the calling daemon records it.
    pub crashed: bool,
    /// Whether the latest attempt was refused.
    pub refused: bool,
}

/// State of a call's current attempt, with the index of the VM that handles it.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// On the network to the VM.
    Sent(usize),
    /// In the queue of the VM.
    Waiting(usize, Ticket),
    /// In a slot of the VM.
    Running(usize),
    /// Not started, ended or cancelled.
    Over,
}

/// The load that the last answer of an instance reported.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReportedLoad {
    /// Number of requests in flight or queued.
    pub load: u32,
    /// Mean service time, in microseconds.
    pub mean_us: u32,
    pub at: Time,
}

impl ReportedLoad {
    /// Returns the load and the mean service time that still count at `now` for a daemon with `sent`
    /// requests in flight to the instance.
    pub fn at(&self, now: Time, sent: u32) -> (u32, Duration) {
        let weight = if sent > 0 { 1.0 } else { instance::report_weight(now.since(self.at)) };
        let load = (f64::from(self.load) * weight) as u32;
        (load.max(sent), Duration::from_micros(u64::from(self.mean_us)).mul_f64(weight))
    }
}

/// A VM: an instance of a service, and the daemon beside it.
pub struct Vm {
    pub name: String,
    /// Index of the instance's service in the deployment.
    pub service: usize,
    pub domain: usize,
    /// Relative speed of the instance; work takes its nominal time at speed 1.
    pub speed: f64,
    pub intake: Intake,
    pub feedback: Feedback,
    /// Tracks the work offered to the service, as entries report it.
    pub room: OverloadController,
    pub tables: Tables,
    /// Attempts in the policy's queue.
    pub tickets: BTreeMap<Ticket, FrameId>,
    /// Queue of the baseline.
    pub fifo: VecDeque<FrameId>,
    /// Number of slots in use.
    pub running: usize,
    /// Load (in flight and queued) and mean service time in microseconds from the latest answer of
    /// each VM.
    pub reported: Vec<ReportedLoad>,
    /// Number of unanswered attempts that this daemon has sent to each VM.
    pub sent: Vec<u32>,
    /// Retry budget for each service.
    pub retries: Vec<TokenBucket>,
    /// Number of crashes so far; events of an earlier epoch are ignored.
    pub epoch: u32,
    pub down: bool,
}
