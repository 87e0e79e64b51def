//! Overload control for service call graphs.
//!
//! One small daemon on every backend server VM stands between callers and backend servers. A request
//! passes three roles: the [`entry`](mod@entry) of the daemon that the caller reached, the
//! [`router`] that chooses an instance, and the [`guard`] beside that instance.
//!
//! ```text
//! caller -> daemon on any VM (entry, router) -> daemon on the chosen VM (guard) -> backend server
//!                                                      ^                                |
//!                                                      +---- calls on, by request token +
//! ```
//!
//! Decisions are pure: [`guard`], [`share`], [`retry`], [`router`], [`level`], [`member`] and [`claim`]
//! take the time and their random numbers as arguments and do no I/O. The modules around them carry what
//! they decide. [`Board`] is where controllers and requests meet.
//!
//! docs/DESIGN.md records what was weighed; docs/OPERATIONS.md is for operators.

pub mod admission;
pub mod announcement;
pub mod backend;
pub mod board;
pub mod breaker;
pub mod bucket;
pub mod chunked;
pub mod claim;
pub mod claims;
pub mod codec;
pub mod connection;
pub mod controllers;
pub mod daemon;
pub mod dialect;
pub mod document;
pub mod egress;
pub mod entry;
pub mod envelope;
pub mod error;
pub mod fanout;
pub mod feed;
pub mod feedback;
pub mod forward;
pub mod gate;
pub mod guard;
pub mod handshake;
pub mod head;
pub mod instance;
pub mod intake;
pub mod journal;
pub mod key;
pub mod live;
pub mod local_backend;
pub mod log;
pub mod member;
pub mod message;
pub mod metrics;
pub mod ops;
pub mod overload;
pub mod peer;
pub mod pipeline;
pub mod publish;
pub mod quarantine;
pub mod reason;
pub mod reload;
pub mod retry;
pub mod roster;
pub mod router;
pub mod server;
pub mod settings;
pub mod share;
pub mod shared;
pub mod shedding;
pub mod store;
pub mod sync;
pub mod tables;
pub mod time;
pub mod timings;
pub mod wire;

pub use crate::board::Board;
pub use crate::daemon::Daemon;
pub use crate::document::{Document, Importance, explain};
pub use crate::error::{Error, Invalid, Result};
pub use crate::key::Digest;
pub use crate::reason::{Outcome, Reason};
pub use crate::settings::Settings;
