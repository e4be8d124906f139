//! The platform: what it tells of builds and answers, and the votes cast there.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use calloop::Readiness;
use harrierdock_config::Names;
use harrierdock_event_loop::{
    Connection, ConnectionId, LineStream, ReadResult, ResourceClass, ResponseMode, StreamEvent,
    WriteResult,
};
use harrierdock_http::{write, MessageReader, Progress, ResponseHead};
use harrierdock_types::{
    BuildId, Event, PlatformStatus, RolloutDecision, RolloutPhase, RolloutUpdate,
};
use harrierdock_types::{TimeDelta, Timestamp};
use serde::Deserialize;

use crate::metrics::Count;
use crate::runtime::context::{Notice, Room};
use crate::runtime::gateway::Gateway;
use crate::runtime::timer::Due;

const SIGN_OF_LIFE: TimeDelta = TimeDelta(1_000_000);
/// Signs of life that may be missed before a stream counts as silent.
const MISSED: f64 = 2.5;

// The page's names end here.
const PATH_EVENTS: &str = "/apis/fleet/events";
const PATH_VOTES: &str = "/apis/fleet/votes";

/// How the newest build stands, as the platform writes it.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct NewsTold {
    image: u32,
    ring: usize,
    progress: ProgressTold,
    ceiling: f64,
    #[serde(default)]
    lag_ms: i64,
}

/// In the order in which a build passes through them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
enum ProgressTold {
    Trial,
    Released,
    RollingBack,
    Withdrawn,
}

#[derive(Deserialize)]
#[serde(tag = "type", content = "object", rename_all = "lowercase")]
enum LineTold {
    News(NewsTold),
    Report {
        host: String,
        #[serde(rename = "type")]
        class: String,
        /// Checked, and read by no decision.
        #[serde(rename = "lag_ms")]
        _lag_ms: i64,
    },
}

impl NewsTold {
    /// Later states of the newest build stand higher.
    fn order(&self) -> (u32, ProgressTold, usize) {
        (self.image, self.progress, self.ring)
    }

    fn news(&self, status: PlatformStatus, answers_vote: bool) -> RolloutUpdate {
        RolloutUpdate {
            build: BuildId(self.image),
            stage: self.ring,
            phase: match self.progress {
                ProgressTold::Trial => RolloutPhase::Canary,
                ProgressTold::Released => RolloutPhase::Released,
                ProgressTold::RollingBack => RolloutPhase::RollingBack,
                ProgressTold::Withdrawn => RolloutPhase::RolledBack,
            },
            exposure_limit: self.ceiling,
            status,
            answers_vote,
            age: TimeDelta(self.lag_ms.saturating_mul(1000)),
        }
    }
}

/// A vote on its way.
struct Call {
    connection: Connection,
    reader: MessageReader,
    written: bool,
    due: Timestamp,
}

pub struct Platform {
    address: SocketAddr,
    feed: LineStream,
    calls: BTreeMap<ConnectionId, Call>,
    newest: Option<(NewsTold, Timestamp)>,
    wait: TimeDelta,
    pause: TimeDelta,
}

fn on_feed(gateway: &mut Gateway, readiness: Readiness) {
    let Gateway {
        room,
        platform,
        driver,
        ..
    } = gateway;
    if let Some(platform) = platform {
        for heard in platform.feed.handle_readiness(room, readiness) {
            if !platform.hear(room, &driver.names, heard) {
                break;
            }
        }
    }
    gateway.settle();
}

fn on_call(gateway: &mut Gateway, no: ConnectionId, readiness: Readiness) {
    if let Some(platform) = &mut gateway.platform {
        platform.serve_call(&mut gateway.room, no, readiness);
    }
    gateway.settle();
}

impl Platform {
    pub fn new(address: SocketAddr, wait: TimeDelta, pause: TimeDelta) -> Platform {
        let feed = LineStream::new("platform", address, SIGN_OF_LIFE * MISSED);
        Platform {
            address,
            feed,
            calls: BTreeMap::new(),
            newest: None,
            wait,
            pause,
        }
    }

    /// Tells the module how the newest build stands. Guards against news out of order between the stream and
    /// the answers to votes: a state that the build has left behind gives way to the one held.
    pub fn learn(&mut self, room: &mut Room, told: NewsTold, answers_vote: bool) {
        room.counters.add(Count::News);
        let now = room.now();
        let held = self.newest.filter(|(held, _)| held.order() > told.order());
        let news = match held {
            Some((held, at)) => {
                let mut news = held.news(PlatformStatus::Valid, answers_vote);
                news.age = news.age + (now - at);
                news
            }
            None => {
                self.newest = Some((told, now));
                told.news(PlatformStatus::Valid, answers_vote)
            }
        };
        if held.is_some() {
            room.counters.add(Count::NewsPassedOver);
        }
        if held.is_none() || answers_vote {
            tracing::debug!("platform: {told:?}, answers a vote: {answers_vote}");
            room.inbox
                .push_back((now, Notice::Event(Event::RolloutUpdated(news))));
        }
    }

    /// At once where it has stood for a while; else `tend` will.
    fn renew(&mut self, room: &mut Room) {
        self.feed.close(room);
        if !self.feed.is_open() && !self.feed.was_opened_within(room.now(), self.pause) {
            self.feed
                .open(room, PATH_EVENTS, ResponseMode::Lines, on_feed);
        }
    }

    /// Takes in what the platform says. Gives back whether what was heard behind it still counts.
    fn hear(&mut self, room: &mut Room, names: &Names, heard: StreamEvent) -> bool {
        let line = match heard {
            StreamEvent::Disconnected => {
                self.renew(room);
                return false;
            }
            StreamEvent::Refused(_) => {
                tracing::warn!("platform: refuses its stream");
                return true;
            }
            StreamEvent::Line(line) | StreamEvent::Response(line) => line,
        };
        if line.is_empty() || line == b"{}" {
            return true;
        }
        match serde_json::from_slice(&line) {
            Ok(LineTold::News(told)) => self.learn(room, told, false),
            Ok(LineTold::Report { host, class, .. }) => {
                let known = names.endpoints.id(&host).zip(names.classes.id(&class));
                let Some((endpoint, class)) = known else {
                    room.counters.add(Count::LinesRefused);
                    return true;
                };
                room.counters.add(Count::Complaints);
                room.tell(Notice::Event(Event::ComplaintReceived { endpoint, class }));
            }
            Err(e) => {
                // Guards against a stream that goes on after such a line, though nothing true comes on it.
                room.counters.add(Count::LinesRefused);
                tracing::warn!("platform: a line cannot be read, the stream is renewed: {e}");
                self.renew(room);
                return false;
            }
        }
        true
    }

    /// A reload has told another address. Votes that are out stay where they went.
    pub fn turn_to(&mut self, room: &mut Room, address: SocketAddr) {
        self.address = address;
        if self.feed.set_address(room, address) {
            self.feed
                .open(room, PATH_EVENTS, ResponseMode::Lines, on_feed);
        }
    }

    pub fn tend(&mut self, room: &mut Room) {
        let now = room.now();
        let is_idle = !self.feed.is_open() && !self.feed.was_opened_within(now, self.pause);
        if self.feed.is_unresponsive(now, self.pause) || is_idle {
            self.feed
                .open(room, PATH_EVENTS, ResponseMode::Lines, on_feed);
        }
    }

    pub fn vote(
        &mut self,
        room: &mut Room,
        build: BuildId,
        stage: usize,
        verdict: RolloutDecision,
    ) {
        room.counters.add(Count::Votes);
        let opinion = match verdict {
            RolloutDecision::Withdraw => "clear",
            RolloutDecision::Promote => "approve",
            RolloutDecision::Hold => "wait",
            RolloutDecision::RollBack => "reject",
        };
        tracing::info!("votes {opinion} on build {build} in stage {stage}");
        let body = format!(r#"{{"image":{build},"ring":{stage},"opinion":"{opinion}"}}"#);
        let no = room.next_connection_id();
        let call = move |gateway: &mut Gateway, readiness| on_call(gateway, no, readiness);
        let Ok(mut connection) =
            Connection::connect(room, self.address, ResourceClass::Reserved, call)
        else {
            return self.settle_vote(room, PlatformStatus::ServerError);
        };
        let Some(out) = connection.output_buffer(room) else {
            connection.close(room);
            return self.settle_vote(room, PlatformStatus::ServerError);
        };
        write::request_line(out, "POST", PATH_VOTES);
        write::field(out, "Host", self.address);
        write::field(out, "Connection", "close");
        write::field(out, "Content-Type", "application/json");
        write::body(out, body.as_bytes());
        let due = room.due_in(self.wait, Due::Vote(no));
        self.calls.insert(
            no,
            Call {
                connection,
                reader: MessageReader::default(),
                written: false,
                due,
            },
        );
    }

    /// A vote that brought back no state.
    fn settle_vote(&mut self, room: &mut Room, status: PlatformStatus) {
        room.counters.add(Count::VotesRefused);
        tracing::info!("a vote got no state: {status:?}");
        let (phase, exposure_limit, age) = (RolloutPhase::Canary, 0.0, TimeDelta::ZERO);
        let news = RolloutUpdate {
            build: BuildId(0),
            stage: 0,
            phase,
            exposure_limit,
            status,
            answers_vote: true,
            age,
        };
        room.tell(Notice::Event(Event::RolloutUpdated(news)));
    }

    /// The answer has not come in its time, though the vote may have been carried out, or may yet be.
    pub fn give_up(&mut self, room: &mut Room, no: ConnectionId) {
        self.end_call(room, no);
        self.settle_vote(room, PlatformStatus::TimedOut);
    }

    fn end_call(&mut self, room: &mut Room, no: ConnectionId) {
        if let Some(call) = self.calls.remove(&no) {
            room.dues.cancel(call.due, Due::Vote(no));
            call.connection.close(room);
        }
    }

    fn serve_call(&mut self, room: &mut Room, no: ConnectionId, readiness: Readiness) {
        let Some(call) = self.calls.get_mut(&no) else {
            return;
        };
        if readiness.writable && !call.written {
            let flushed = match call.connection.check_connected() {
                Ok(()) => call.connection.flush(room),
                Err(_) => WriteResult::Failed,
            };
            match flushed {
                WriteResult::Complete => {
                    call.written = true;
                    call.connection.set_interest(room, true, false);
                }
                WriteResult::Partial => return,
                WriteResult::Failed => {
                    self.end_call(room, no);
                    return self.settle_vote(room, PlatformStatus::ServerError);
                }
            }
        }
        let Some(call) = self
            .calls
            .get_mut(&no)
            .filter(|c| readiness.readable && c.written)
        else {
            return;
        };
        let filled = call.connection.read(room);
        let progress = call.reader.read_response(&mut call.connection.input);
        let ends =
            filled == ReadResult::EndOfStream && progress.is_ok() && call.reader.end_of_input();
        let whole = progress == Ok(Progress::Complete) || ends;
        if !whole && matches!(filled, ReadResult::Data | ReadResult::WouldBlock) && progress.is_ok()
        {
            return;
        }
        let input = &call.connection.input;
        let status = ResponseHead::parse(input)
            .ok()
            .flatten()
            .filter(|_| whole)
            .map(|h| h.status);
        let state = || serde_json::from_slice::<NewsTold>(&input[call.reader.body()]).ok();
        let status = match status {
            Some(200) => match state() {
                Some(told) => {
                    self.end_call(room, no);
                    return self.learn(room, told, true);
                }
                None => PlatformStatus::TimedOut,
            },
            Some(429) => PlatformStatus::Overloaded,
            Some(409) => PlatformStatus::Superseded,
            Some(400 | 500) => PlatformStatus::ServerError,
            _ => PlatformStatus::TimedOut,
        };
        self.end_call(room, no);
        self.settle_vote(room, status);
    }
}
