//! One request on a connection of its own, and its answer. What is written is made up only when the connection is
//! up, at the moment before the bytes go out, so that who may not ask any more by then does not.

use std::net::SocketAddr;

use calloop::Readiness;
use harrierdock_http::{write, AnswerHead, Intake, Progress};

use crate::connection::{Connection, Filled, Flushed, Purse};
use crate::net::Net;

/// Where an errand stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The connection is up: now is the time to write, or to leave it.
    Up,
    Waits,
    Answered {
        status: u16,
        body: Vec<u8>,
    },
    Failed,
}

pub struct Errand {
    address: SocketAddr,
    connection: Connection,
    intake: Intake,
    composed: bool,
    written: bool,
}

impl Errand {
    /// Begins to connect. None where no connection can be had.
    pub fn begin<D>(
        net: &mut Net<D>,
        address: SocketAddr,
        on_ready: impl Fn(&mut D, Readiness) + 'static,
    ) -> Option<Errand> {
        let connection = Connection::dial(net, address, Purse::Reserve, on_ready).ok()?;
        Some(Errand { address, connection, intake: Intake::default(), composed: false, written: false })
    }

    /// Writes the request and sends what is taken of it. Gives back whether it may have gone out.
    pub fn post<D>(&mut self, net: &mut Net<D>, path: &str, body: &[u8]) -> bool {
        let address = self.address;
        let Some(out) = self.connection.out(net) else { return false };
        write::request_line(out, "POST", path);
        write::field(out, "Host", address);
        write::field(out, "Connection", "close");
        write::field(out, "Content-Type", "application/json");
        write::body(out, body);
        self.composed = true;
        self.send(net) != Flushed::Failed
    }

    fn send<D>(&mut self, net: &mut Net<D>) -> Flushed {
        let flushed = self.connection.flush(net);
        if flushed == Flushed::All {
            self.written = true;
            self.connection.wants(net, true, false);
        }
        flushed
    }

    /// What has become of it, now that the connection is ready for something.
    pub fn serve<D>(&mut self, net: &mut Net<D>, readiness: Readiness) -> Step {
        if !self.composed {
            return match self.connection.is_up() {
                Ok(()) if readiness.writable => Step::Up,
                Ok(()) => Step::Waits,
                Err(_) => Step::Failed,
            };
        }
        if !self.written && readiness.writable && self.send(net) == Flushed::Failed {
            return Step::Failed;
        }
        if !readiness.readable || !self.written {
            return Step::Waits;
        }
        let filled = self.connection.fill(net);
        let progress = self.intake.answer(&mut self.connection.input);
        let ends = filled == Filled::Ended && progress.is_ok() && self.intake.ends();
        let input = &self.connection.input;
        if progress == Ok(Progress::Whole) || ends {
            return match AnswerHead::read(input) {
                Ok(Some(head)) => {
                    Step::Answered { status: head.status, body: input[self.intake.body()].to_vec() }
                }
                _ => Step::Failed,
            };
        }
        let goes_on = matches!(filled, Filled::Some | Filled::Nothing) && progress.is_ok();
        if goes_on {
            Step::Waits
        } else {
            Step::Failed
        }
    }

    pub fn close<D>(self, net: &mut Net<D>) {
        self.connection.close(net);
    }
}
