//! Overload control for service call graphs.
//!
//! A small daemon on every backend server VM proxies requests from callers to backend servers. A request
//! passes through three roles: the [`entry`](mod@entry) of the daemon that the caller reached, the
//! [`router`] that chooses an instance, and the [`guard`] beside that instance.
//!
//! ```text
//! caller -> daemon on any VM (entry, router) -> daemon on the chosen VM (guard) -> backend server
//!                                                      ^                                |
//!                                                      +---- downstream calls, by token +
//! ```
//!
//! Decision code is pure: [`guard`], [`share`], [`retry`], [`router`], [`overload`], [`member`] and
//! [`claim`] take the time and their random numbers as arguments and do no I/O. The modules around them
//! carry out the decisions. [`Board`] holds the state that background tasks and requests share.
//!
//! docs/DESIGN.md records the design choices; docs/OPERATIONS.md is for operators.

pub mod admission;
pub mod allowance;
pub mod announcement;
pub mod answer_kind;
pub mod arrivals;
pub mod backend;
pub mod board;
pub mod body;
pub mod breaker;
pub mod bucket;
pub mod chunked;
pub mod claim;
pub mod claims;
pub mod codec;
pub mod connection;
pub mod controllers;
pub mod daemon;
pub mod demand;
pub mod dialect;
pub mod document;
pub mod echo;
pub mod egress;
pub mod entry;
pub mod envelope;
pub mod era;
pub mod error;
pub mod fanout;
pub mod feed;
pub mod feedback;
pub mod forward;
pub mod gate;
pub mod guard;
pub mod handshake;
pub mod head;
pub mod held_bodies;
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
pub mod notices;
pub mod ops;
pub mod overload;
pub mod pacing;
pub mod peer;
pub mod pipeline;
pub mod publish;
pub mod quarantine;
pub mod reason;
pub mod recall;
pub mod reload;
pub mod reported;
pub mod reservation;
pub mod retry;
pub mod returns;
pub mod roster;
pub mod router;
pub mod rows;
pub mod runs;
pub mod server;
pub mod settings;
pub mod share;
pub mod shared;
pub mod shedding;
pub mod store;
pub mod supervise;
pub mod sync;
pub mod tables;
pub mod time;
pub mod timings;
pub mod unreadable;
pub mod wire;
pub mod withdrawals;

pub use crate::board::Board;
pub use crate::daemon::Daemon;
pub use crate::document::{Document, Importance, explain};
pub use crate::error::{Error, Invalid, Result};
pub use crate::key::Digest;
pub use crate::reason::{Outcome, Reason};
pub use crate::settings::Settings;
