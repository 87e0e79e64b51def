//! The guard as tasks see it: they wait for a slot without holding a lock.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::oneshot;

use crate::envelope::Load;
use crate::guard::{Decision, Released, ServiceTime, SlotRequest, Ticket};
use crate::intake::{Intake, Observed};
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
    /// Makes a gate without slots.
    pub fn new(clock: Clock, longest_wait: Duration) -> Self {
        let state = State { intake: Intake::new(longest_wait), waiters: BTreeMap::new() };
        Self { clock, state: Mutex::new(state) }
    }

    /// Waits for a slot for a request of `route`.
    ///
    /// Dropping the future takes the request out of the queue.
    ///
    /// # Errors
    ///
    /// Returns why the request was refused; no byte of it has reached the backend server.
    pub async fn acquire(
        self: &Arc<Self>,
        work: SlotRequest,
        route: &str,
    ) -> Result<Permit, Reason> {
        let now = self.clock.now();
        let (ticket, answer) = {
            let mut state = self.lock();
            let (offer, released) = state.intake.guard.offer(work, now);
            state.deliver(released);
            match offer {
                Decision::Run(_) => return Ok(self.permit(route, now)),
                Decision::Refuse(reason) => return Err(reason),
                Decision::Wait(ticket) => {
                    let (sender, receiver) = oneshot::channel();
                    state.waiters.insert(ticket, sender);
                    (ticket, receiver)
                }
            }
        };
        let place = Place { gate: self, ticket, answer: Some(answer) };
        place.wait(route, work.deadline).await
    }

    /// Sets the slots, as the backend server announces them.
    pub fn set_slots(&self, slots: usize) {
        let mut state = self.lock();
        let released = state.intake.guard.set_slots(slots);
        state.deliver(released);
    }

    /// Sets the bound on the wait, as the document says.
    pub fn set_longest_wait(&self, longest_wait: Duration) {
        self.lock().intake.guard.set_longest_wait(longest_wait);
    }

    /// The load now.
    pub fn load(&self) -> Load {
        self.lock().intake.load()
    }

    /// What goes back with an answer to a request of `route`.
    pub fn observe(&self, route: &str) -> Observed {
        self.lock().intake.observe(route)
    }

    /// How long a request that comes now would wait for a slot, and the part of the offered requests that
    /// was refused lately.
    pub fn pressure(&self) -> (Duration, f64) {
        let state = self.lock();
        (state.intake.guard.backlog(), state.intake.guard.refused_fraction())
    }

    fn permit(self: &Arc<Self>, route: &str, since: Time) -> Permit {
        Permit { gate: Arc::clone(self), route: route.to_owned(), since, whole: false }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

impl State {
    /// Tells the tasks whose wait ended. A slot for a task that has gone passes to the next one.
    fn deliver(&mut self, released: Released) {
        for shed in released.shed {
            if let Some(waiter) = self.waiters.remove(&shed.ticket) {
                let _ = waiter.send(Some(shed.reason));
            }
        }
        let mut start = released.start;
        while let Some(ticket) = start.pop() {
            let told = self.waiters.remove(&ticket).map(|waiter| waiter.send(None));
            if !matches!(told, Some(Ok(()))) {
                start.extend(self.intake.guard.finish(ServiceTime::Aborted(Duration::ZERO)).start);
            }
        }
    }
}

/// One task's place in the queue, given up when the task goes away.
struct Place<'a> {
    gate: &'a Arc<Gate>,
    ticket: Ticket,
    answer: Option<oneshot::Receiver<Option<Reason>>>,
}

impl Place<'_> {
    /// Waits until the deadline, but no longer than the queue is bounded: work that came later and
    /// goes first can make a prediction wrong.
    async fn wait(mut self, route: &str, deadline: Time) -> Result<Permit, Reason> {
        let left = deadline.since(self.gate.clock.now());
        let longest = self.gate.lock().intake.guard.longest_wait();
        let Some(answer) = self.answer.as_mut() else { return Err(Reason::Leaving) };
        let answer = tokio::time::timeout(left.min(longest), answer).await;
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
                wait_ms: left.min(longest).as_millis() as u64,
                time_left_ms: left.as_millis() as u64,
            }),
        }
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let Some(mut answer) = self.answer.take() else { return };
        let mut state = self.gate.lock();
        state.waiters.remove(&self.ticket);
        if state.intake.guard.cancel(self.ticket) {
            return;
        }
        // The slot was given between the end of the wait and this drop.
        if let Ok(None) = answer.try_recv() {
            let released = state.intake.guard.finish(ServiceTime::Aborted(Duration::ZERO));
            state.deliver(released);
        }
    }
}

/// A slot of the backend server, given back on drop.
#[derive(Debug)]
pub struct Permit {
    gate: Arc<Gate>,
    route: String,
    since: Time,
    whole: bool,
}

impl Permit {
    /// Notes that the backend server answered, so that the time counts as its service time.
    pub fn complete(&mut self) {
        self.whole = true;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let service = self.gate.clock.now().since(self.since);
        let mut state = self.gate.lock();
        let held = if self.whole {
            ServiceTime::Completed(service)
        } else {
            ServiceTime::Aborted(service)
        };
        let released = state.intake.finish(&self.route, held);
        state.deliver(released);
    }
}
