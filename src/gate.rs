//! Asynchronous access to the guard: tasks wait for a slot without holding a lock.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::runtime::Handle;
use tokio::sync::oneshot;

use crate::envelope::Load;
use crate::guard::{Decision, Released, ServiceTime, SlotRequest, Ticket};
use crate::intake::{Intake, RouteLoad};
use crate::reason::Reason;
use crate::sync::lock;
use crate::time::{Clock, Time};

/// Admission to the local backend server.
#[derive(Debug)]
pub struct Gate {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    intake: Intake,
    waiters: BTreeMap<Ticket, oneshot::Sender<Option<Reason>>>,
}

impl Gate {
    /// Creates a gate without slots. `longest_wait` is the maximum queue wait.
    pub fn new(clock: Clock, longest_wait: Duration) -> Self {
        let state = State { intake: Intake::new(longest_wait), waiters: BTreeMap::new() };
        Self { clock, state: Mutex::new(state) }
    }

    /// Waits for a slot for a request of `route`.
    ///
    /// Dropping the future removes the request from the queue.
    ///
    /// # Errors
    ///
    /// Returns the reason of the refusal; no byte of the request has reached the backend server.
    pub async fn acquire(
        self: &Arc<Self>,
        request: SlotRequest,
        route: &str,
    ) -> Result<Permit, Reason> {
        let now = self.clock.now();
        let (ticket, answer) = {
            let mut state = self.lock();
            let (decision, released) = state.intake.guard.offer(request, now);
            state.deliver(released);
            match decision {
                Decision::Run(_) => return Ok(self.permit(route, now)),
                Decision::Refuse(reason) => return Err(reason),
                Decision::Wait(ticket) => {
                    let (sender, receiver) = oneshot::channel();
                    state.waiters.insert(ticket, sender);
                    (ticket, receiver)
                }
            }
        };
        let queued = QueuedRequest { gate: self, ticket, answer: Some(answer) };
        queued.wait(route, request.deadline).await
    }

    /// Sets the number of usable slots, which follows from the announcement of the backend server.
    pub fn set_slots(&self, slots: usize) {
        let mut state = self.lock();
        let released = state.intake.guard.set_slots(slots);
        state.deliver(released);
    }

    /// Sets the requests per second that the backend server takes; `None` if it names no limit.
    pub fn set_limit(&self, limit: Option<f64>) {
        let mut state = self.lock();
        let released = state.intake.guard.set_limit(limit);
        state.deliver(released);
    }

    /// Returns the number of slots that other daemons should reckon with, of those that the backend server
    /// has announced.
    pub fn offered_slots(&self, announced: u32) -> u32 {
        self.lock().intake.guard.offered_slots(announced as usize) as u32
    }

    /// Frees a slot that a request kept after its end.
    fn release(&self) {
        let mut state = self.lock();
        let released = state.intake.guard.release();
        state.deliver(released);
    }

    /// Sets the maximum queue wait, which comes from the document in force.
    pub fn set_longest_wait(&self, longest_wait: Duration) {
        self.lock().intake.guard.set_longest_wait(longest_wait);
    }

    /// Returns the current load.
    pub fn load(&self) -> Load {
        self.lock().intake.load()
    }

    /// Returns what is reported with an answer to a request of `route`.
    pub fn observe(&self, route: &str) -> RouteLoad {
        self.lock().intake.observe(route)
    }

    /// Returns the expected queue wait of a request that arrives now, and the fraction of the offered
    /// requests that were refused lately.
    pub fn queue_pressure(&self) -> (Duration, f64) {
        let state = self.lock();
        (state.intake.guard.backlog(), state.intake.guard.refused_fraction())
    }

    fn permit(self: &Arc<Self>, route: &str, started: Time) -> Permit {
        Permit { gate: Arc::clone(self), route: route.to_owned(), started, completed: false }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

impl State {
    /// Notifies the tasks whose wait ended. If a task that got a slot no longer exists, the slot goes
    /// to the next one.
    fn deliver(&mut self, released: Released) {
        for shed in released.shed {
            if let Some(waiter) = self.waiters.remove(&shed.ticket) {
                let _ = waiter.send(Some(shed.reason));
            }
        }
        let mut start = released.start;
        while let Some(ticket) = start.pop() {
            let delivered = self.waiters.remove(&ticket).map(|waiter| waiter.send(None));
            if !matches!(delivered, Some(Ok(()))) {
                start.extend(self.intake.guard.finish(ServiceTime::Aborted(Duration::ZERO)).start);
            }
        }
    }
}

/// A queued request of one task, removed from the queue when the task is dropped.
struct QueuedRequest<'a> {
    gate: &'a Arc<Gate>,
    ticket: Ticket,
    answer: Option<oneshot::Receiver<Option<Reason>>>,
}

impl QueuedRequest<'_> {
    /// Waits until the deadline, but at most for the maximum queue wait. The limit is needed although
    /// the guard predicts the wait: requests that arrive later and are ordered first can make the
    /// prediction too short.
    async fn wait(mut self, route: &str, deadline: Time) -> Result<Permit, Reason> {
        let time_left = deadline.since(self.gate.clock.now());
        let longest_wait = self.gate.lock().intake.guard.longest_wait();
        let Some(answer) = self.answer.as_mut() else { return Err(Reason::Leaving) };
        let answer = tokio::time::timeout(time_left.min(longest_wait), answer).await;
        match answer {
            Ok(Ok(None)) => {
                self.answer = None;
                Ok(self.gate.permit(route, self.gate.clock.now()))
            }
            Ok(Ok(Some(reason))) => {
                self.answer = None;
                Err(reason)
            }
            Ok(Err(_)) => Err(Reason::Leaving),
            Err(_) => Err(Reason::QueueDelay {
                wait_ms: time_left.min(longest_wait).as_millis() as u64,
                time_left_ms: time_left.as_millis() as u64,
            }),
        }
    }
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        let Some(mut answer) = self.answer.take() else { return };
        let mut state = self.gate.lock();
        state.waiters.remove(&self.ticket);
        if state.intake.guard.cancel(self.ticket) {
            return;
        }
        // The slot was granted between the end of the wait and this drop.
        if let Ok(None) = answer.try_recv() {
            let released = state.intake.guard.finish(ServiceTime::Aborted(Duration::ZERO));
            state.deliver(released);
        }
    }
}

/// A slot of the backend server, released on drop. If the backend server names a limit, the slot stays in
/// use until the limit allows the next request.
#[derive(Debug)]
pub struct Permit {
    gate: Arc<Gate>,
    route: String,
    started: Time,
    completed: bool,
}

impl Permit {
    /// Counts the time for which the slot is held from now on, and returns that moment.
    pub fn restart(&mut self) -> Time {
        self.started = self.gate.clock.now();
        self.started
    }

    /// Records that the answer is complete, so that the permit's lifetime counts as a service time.
    /// Without this call the request counts as aborted.
    pub fn complete(&mut self) {
        self.completed = true;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let elapsed = self.gate.clock.now().since(self.started);
        let mut state = self.gate.lock();
        let service_time = if self.completed {
            ServiceTime::Completed(elapsed)
        } else {
            ServiceTime::Aborted(elapsed)
        };
        state.intake.record_service_time(&self.route, service_time);
        let due = self.started + state.intake.guard.min_slot_time();
        if due > self.gate.clock.now()
            && let Ok(runtime) = Handle::try_current()
        {
            let gate = Arc::clone(&self.gate);
            runtime.spawn(async move {
                gate.clock.sleep_until(due).await;
                gate.release();
            });
            return;
        }
        let released = state.intake.guard.release();
        state.deliver(released);
    }
}
