//! The rollout controller. Where the rollout platform does not count votes, the gateway that holds the controller's lease calls the
//! deployment controller to change the rollout stage.
//!
//! Each gateway's policy decides how that gateway votes. This package exchanges and counts the votes, and turns them into at most one
//! completed call for each stage and decision. It takes events, returns actions and does no I/O. The caller checks that the lease is
//! still held when it writes the call.

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
