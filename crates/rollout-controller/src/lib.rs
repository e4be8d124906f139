//! The rollout controller: where no platform counts votes, one gateway of a fleet moves a rollout's stage by a call of the deployment
//! controller.
//!
//! The policy of each gateway alone decides how it votes; here votes are exchanged, counted, and turned into at most one call for each
//! stage and decision. No I/O: events come in, actions go out. Whether this gateway may act is asked where the bytes of the call are
//! written, not here.

#![warn(missing_docs, unreachable_pub)]

mod codec;
mod controller;
mod event;
mod vote;
mod vote_table;

pub use codec::{decode, encode, DecodeError, FIRST_BYTE, MESSAGE_BYTES};
pub use controller::{RolloutController, RolloutControllerParameters};
pub use event::{Action, CallOutcome, Event, Notice, StagePhase};
pub use vote::{Decision, RolloutStage, Vote, VoteMessage};
