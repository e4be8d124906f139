//! The side that is acted on. It needs no lease and no clock: it keeps the highest epoch it has seen of each
//! duty and refuses an older one, so that a holder deposed between its check and the arrival of its act does
//! nothing either.

use std::collections::BTreeMap;

use thiserror::Error;

use crate::{Duty, Epoch};

/// Duties that a guard keeps apart; those beyond are refused. Guards against a sender that makes up circles.
const MOST: usize = 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Stale {
    #[error(
        "an act of {duty} in epoch {epoch}, when {newest} is known: whoever acted holds it no more; tell it"
    )]
    Older {
        duty: Duty,
        epoch: Epoch,
        newest: Epoch,
    },
    #[error("an act of {duty} beyond the {MOST} duties that are kept apart: tell fewer circles")]
    TooMany { duty: Duty },
}

#[derive(Clone, Debug, Default)]
pub struct Guard {
    newest: BTreeMap<Duty, Epoch>,
}

impl Guard {
    /// To be asked before an act is carried out.
    pub fn admit(&mut self, duty: Duty, epoch: Epoch) -> Result<(), Stale> {
        match self.newest.get(&duty) {
            Some(newest) if epoch < *newest => {
                return Err(Stale::Older {
                    duty,
                    epoch,
                    newest: *newest,
                })
            }
            None if self.newest.len() >= MOST => return Err(Stale::TooMany { duty }),
            _ => {}
        }
        self.newest.insert(duty, epoch);
        Ok(())
    }

    pub fn newest(&self, duty: Duty) -> Option<Epoch> {
        self.newest.get(&duty).copied()
    }
}
