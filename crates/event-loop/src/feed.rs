//! A stream of lines from one address, for as long as the gateway runs. One that breaks, or stands silent for
//! longer than its protocol allows, is replaced.

use std::net::SocketAddr;

use calloop::Readiness;
use harrierdock_http::{write, AnswerHead, Intake, Progress, BODY_MOST};
use harrierdock_types::time::{Point, Span};

use crate::connection::{Connection, Filled, Flushed, Purse};
use crate::net::Net;

/// What is asked for on the connection.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Asking {
    /// One answer, whole.
    Once,
    /// An answer that goes on, line by line.
    Lines,
}

pub enum Heard {
    Once(Vec<u8>),
    Line(Vec<u8>),
    /// What was asked for is not to be had: the status that says why, if one can be read.
    Refused(Option<u16>),
    Broken,
}

pub struct Feed {
    address: SocketAddr,
    name: &'static str,
    connection: Option<Connection>,
    up: bool,
    intake: Intake,
    asking: Asking,
    heard: Point,
    /// Since when what came last is only a part.
    begun: Option<Point>,
    tried: Point,
    /// The longest that a stream in order says nothing.
    silence: Span,
}

impl Feed {
    pub fn new(name: &'static str, address: SocketAddr, silence: Span) -> Feed {
        Feed {
            address,
            name,
            connection: None,
            up: false,
            intake: Intake::default(),
            asking: Asking::Lines,
            heard: Point(0),
            begun: None,
            tried: Point(0) - silence,
            silence,
        }
    }

    /// Turns to another address. Gives back whether it is another one, which is then to be opened.
    pub fn turn_to<D>(&mut self, net: &mut Net<D>, address: SocketAddr) -> bool {
        if self.address == address {
            return false;
        }
        tracing::info!("{}: now at {address}", self.name);
        self.address = address;
        self.close(net);
        true
    }

    /// Whether it stands, or there is a reason to wait before it is opened anew.
    pub fn rests(&self, now: Point, pause: Span) -> bool {
        self.connection.is_some() || now - self.tried < pause
    }

    /// Whether it has said nothing for too long, or has not come up in the time a connection may take. Guards
    /// against a part of an answer behind which nothing comes: the rest of it has no longer either.
    pub fn is_silent(&self, now: Point, connect: Span) -> bool {
        let silent = now - self.heard >= if self.up { self.silence } else { connect };
        let silent = silent || self.begun.is_some_and(|since| now - since > connect);
        if silent && self.connection.is_some() {
            tracing::warn!("{}: silent, renewed", self.name);
        }
        silent && self.connection.is_some()
    }

    pub fn open<D>(
        &mut self,
        net: &mut Net<D>,
        target: &str,
        asking: Asking,
        on_ready: impl Fn(&mut D, Readiness) + 'static,
    ) {
        self.close(net);
        (self.tried, self.heard) = (net.now(), net.now());
        match Connection::dial(net, self.address, Purse::Reserve, on_ready) {
            Ok(connection) => {
                net.streams_opened += 1;
                self.connection = Some(connection);
                self.ask(net, target, asking);
            }
            Err(e) => tracing::warn!("{}: cannot connect: {e}", self.name),
        }
    }

    /// Writes a request, the first or one that follows a whole answer.
    pub fn ask<D>(&mut self, net: &mut Net<D>, target: &str, asking: Asking) {
        let Some(connection) = &mut self.connection else { return };
        (self.intake, self.asking) = (Intake::default(), asking);
        let Some(out) = connection.out(net) else { return self.close(net) };
        write::request_line(out, "GET", target);
        write::field(out, "Host", self.address);
        write::end(out);
        if self.up {
            self.send(net);
        }
    }

    fn send<D>(&mut self, net: &mut Net<D>) -> bool {
        let Some(connection) = &mut self.connection else { return false };
        let flushed = connection.flush(net);
        connection.wants(net, true, flushed == Flushed::Part);
        flushed != Flushed::Failed
    }

    pub fn close<D>(&mut self, net: &mut Net<D>) {
        (self.up, self.begun) = (false, None);
        if let Some(connection) = self.connection.take() {
            connection.close(net);
        }
    }

    /// What came in. After `Broken` the connection is gone.
    pub fn serve<D>(&mut self, net: &mut Net<D>, readiness: Readiness) -> Vec<Heard> {
        let mut heard = Vec::new();
        if !self.take_in(net, readiness, &mut heard) {
            if self.up {
                tracing::warn!("{}: broken off", self.name);
            }
            self.close(net);
            heard.push(Heard::Broken);
        }
        heard
    }

    fn take_in<D>(&mut self, net: &mut Net<D>, readiness: Readiness, heard: &mut Vec<Heard>) -> bool {
        let Some(connection) = &mut self.connection else { return true };
        if readiness.writable {
            if !self.up && connection.is_up().is_err() {
                return false;
            }
            if !std::mem::replace(&mut self.up, true) {
                tracing::info!("{}: reached", self.name);
            }
            if !self.send(net) {
                return false;
            }
        }
        let Some(connection) = self.connection.as_mut().filter(|_| readiness.readable) else { return true };
        let going = match connection.fill(net) {
            Filled::Some => true,
            Filled::Nothing => return true,
            Filled::Full | Filled::Ended | Filled::Failed => false,
        };
        self.heard = net.now();
        let reads = self.read(heard);
        let in_part = self.connection.as_ref().is_some_and(|c| self.intake.is_in_part(&c.input));
        self.begun = in_part.then(|| self.begun.unwrap_or(self.heard));
        reads && going
    }

    fn read(&mut self, heard: &mut Vec<Heard>) -> bool {
        let Some(connection) = &mut self.connection else { return false };
        let input = &mut connection.input;
        let progress = match self.asking {
            Asking::Once => self.intake.answer(input),
            Asking::Lines => self.intake.stream(input),
        };
        let Ok(progress) = progress else { return false };
        if self.intake.in_head() {
            return true;
        }
        let status = AnswerHead::read(input).ok().flatten().map(|head| head.status);
        if status != Some(200) {
            heard.push(Heard::Refused(status));
            return false;
        }
        if self.asking == Asking::Once {
            if progress == Progress::Whole {
                heard.push(Heard::Once(input[self.intake.body()].to_vec()));
                self.intake.consume(input);
            }
            return true;
        }
        while let Some(line) = self.intake.next_line(input) {
            heard.push(Heard::Line(line));
        }
        progress != Progress::Whole && self.intake.body().len() <= BODY_MOST
    }
}
