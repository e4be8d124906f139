//! The platform: what it tells of builds and answers, and the votes cast there.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use calloop::Readiness;
use harrierdock_config::Names;
use harrierdock_event_loop::{Asking, Connection, ConnectionNo, Feed, Filled, Flushed, Heard, Purse};
use harrierdock_http::{write, AnswerHead, Intake, Progress};
use harrierdock_types::interface::{Build, Event, Phase, StageNews, Verdict, Word};
use harrierdock_types::time::{Point, Span};
use serde::Deserialize;

use crate::metrics::Count;
use crate::runtime::context::{Notice, Room};
use crate::runtime::gateway::Gateway;
use crate::runtime::timer::Due;

const SIGN_OF_LIFE: Span = Span(1_000_000);
/// Signs of life that may be missed before a stream counts as silent.
const MISSED: f64 = 2.5;

// The page's names end here.
const PATH_EVENTS: &str = "/apis/fleet/events";
const PATH_VOTES: &str = "/apis/fleet/votes";

/// How the newest build stands, as the platform writes it.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct NewsTold {
    image: Build,
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
        product: String,
        lag_ms: i64,
    },
}

impl NewsTold {
    /// Later states of the newest build stand higher.
    fn order(&self) -> (Build, ProgressTold, usize) {
        (self.image, self.progress, self.ring)
    }

    fn news(&self, word: Word, answers_vote: bool) -> StageNews {
        StageNews {
            build: self.image,
            stage: self.ring,
            phase: match self.progress {
                ProgressTold::Trial => Phase::Trial,
                ProgressTold::Released => Phase::Released,
                ProgressTold::RollingBack => Phase::GoingBack,
                ProgressTold::Withdrawn => Phase::Withdrawn,
            },
            cap: self.ceiling,
            word,
            answers_vote,
            age: Span(self.lag_ms.saturating_mul(1000)),
        }
    }
}

/// A vote on its way.
struct Call {
    connection: Connection,
    intake: Intake,
    written: bool,
    due: Point,
}

pub struct Platform {
    address: SocketAddr,
    feed: Feed,
    calls: BTreeMap<ConnectionNo, Call>,
    newest: Option<(NewsTold, Point)>,
    wait: Span,
    pause: Span,
}

fn on_feed(gateway: &mut Gateway, readiness: Readiness) {
    let Gateway { room, platform, driver, .. } = gateway;
    if let Some(platform) = platform {
        for heard in platform.feed.serve(room, readiness) {
            if !platform.hear(room, &driver.names, heard) {
                break;
            }
        }
    }
    gateway.settle();
}

fn on_call(gateway: &mut Gateway, no: ConnectionNo, readiness: Readiness) {
    if let Some(platform) = &mut gateway.platform {
        platform.serve_call(&mut gateway.room, no, readiness);
    }
    gateway.settle();
}

impl Platform {
    pub fn new(address: SocketAddr, wait: Span, pause: Span) -> Platform {
        let feed = Feed::new("platform", address, SIGN_OF_LIFE * MISSED);
        Platform { address, feed, calls: BTreeMap::new(), newest: None, wait, pause }
    }

    /// Tells the module how the newest build stands. Guards against news out of order between the stream and
    /// the answers to votes: a state that the build has left behind gives way to the one held.
    pub fn learn(&mut self, room: &mut Room, told: NewsTold, answers_vote: bool) {
        room.counters.add(Count::News);
        let now = room.now();
        let held = self.newest.filter(|(held, _)| held.order() > told.order());
        let news = match held {
            Some((held, at)) => {
                let mut news = held.news(Word::Valid, answers_vote);
                news.age = news.age + (now - at);
                news
            }
            None => {
                self.newest = Some((told, now));
                told.news(Word::Valid, answers_vote)
            }
        };
        if held.is_some() {
            room.counters.add(Count::NewsPassedOver);
        }
        if held.is_none() || answers_vote {
            tracing::debug!("platform: {told:?}, answers a vote: {answers_vote}");
            room.inbox.push_back((now, Notice::Event(Event::Stage(news))));
        }
    }

    /// At once where it has stood for a while; else `tend` will.
    fn renew(&mut self, room: &mut Room) {
        self.feed.close(room);
        if !self.feed.rests(room.now(), self.pause) {
            self.feed.open(room, PATH_EVENTS, Asking::Lines, on_feed);
        }
    }

    /// Takes in what the platform says. Gives back whether what was heard behind it still counts.
    fn hear(&mut self, room: &mut Room, names: &Names, heard: Heard) -> bool {
        let line = match heard {
            Heard::Broken => {
                self.renew(room);
                return false;
            }
            Heard::Refused(_) => {
                tracing::warn!("platform: refuses its stream");
                return true;
            }
            Heard::Line(line) | Heard::Once(line) => line,
        };
        if line.is_empty() || line == b"{}" {
            return true;
        }
        match serde_json::from_slice(&line) {
            Ok(LineTold::News(told)) => self.learn(room, told, false),
            Ok(LineTold::Report { host, product, lag_ms }) => {
                let known = names.servers.get(&host).zip(names.products.get_index_of(&product));
                let Some((server, product)) = known else {
                    room.counters.add(Count::LinesRefused);
                    return true;
                };
                room.counters.add(Count::Complaints);
                let age = Span(lag_ms.saturating_mul(1000));
                room.tell(Notice::Event(Event::Complaint { server, product, age }));
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
        if self.feed.turn_to(room, address) {
            self.feed.open(room, PATH_EVENTS, Asking::Lines, on_feed);
        }
    }

    pub fn tend(&mut self, room: &mut Room) {
        let now = room.now();
        if self.feed.is_silent(now, self.pause) || !self.feed.rests(now, self.pause) {
            self.feed.open(room, PATH_EVENTS, Asking::Lines, on_feed);
        }
    }

    pub fn vote(&mut self, room: &mut Room, build: Build, stage: usize, verdict: Verdict) {
        room.counters.add(Count::Votes);
        let opinion = match verdict {
            Verdict::Withdraw => "clear",
            Verdict::On => "approve",
            Verdict::Hold => "wait",
            Verdict::Back => "reject",
        };
        tracing::info!("votes {opinion} on build {build} in stage {stage}");
        let body = format!(r#"{{"image":{build},"ring":{stage},"opinion":"{opinion}"}}"#);
        let no = room.next_connection();
        let call = move |gateway: &mut Gateway, readiness| on_call(gateway, no, readiness);
        let Ok(mut connection) = Connection::dial(room, self.address, Purse::Reserve, call) else {
            return self.settle_vote(room, Word::Errored);
        };
        let Some(out) = connection.out(room) else {
            connection.close(room);
            return self.settle_vote(room, Word::Errored);
        };
        write::request_line(out, "POST", PATH_VOTES);
        write::field(out, "Host", self.address);
        write::field(out, "Connection", "close");
        write::field(out, "Content-Type", "application/json");
        write::body(out, body.as_bytes());
        let due = room.due_in(self.wait, Due::Vote(no));
        self.calls.insert(no, Call { connection, intake: Intake::default(), written: false, due });
    }

    /// A vote that brought back no state.
    fn settle_vote(&mut self, room: &mut Room, word: Word) {
        room.counters.add(Count::VotesRefused);
        tracing::info!("a vote got no state: {word:?}");
        let (phase, cap, age) = (Phase::Trial, 0.0, Span::ZERO);
        let news = StageNews { build: 0, stage: 0, phase, cap, word, answers_vote: true, age };
        room.tell(Notice::Event(Event::Stage(news)));
    }

    /// The answer has not come in its time, though the vote may have been carried out, or may yet be.
    pub fn give_up(&mut self, room: &mut Room, no: ConnectionNo) {
        self.end_call(room, no);
        self.settle_vote(room, Word::TimedOut);
    }

    fn end_call(&mut self, room: &mut Room, no: ConnectionNo) {
        if let Some(call) = self.calls.remove(&no) {
            room.dues.clear(call.due, Due::Vote(no));
            call.connection.close(room);
        }
    }

    fn serve_call(&mut self, room: &mut Room, no: ConnectionNo, readiness: Readiness) {
        let Some(call) = self.calls.get_mut(&no) else { return };
        if readiness.writable && !call.written {
            let flushed = match call.connection.is_up() {
                Ok(()) => call.connection.flush(room),
                Err(_) => Flushed::Failed,
            };
            match flushed {
                Flushed::All => {
                    call.written = true;
                    call.connection.wants(room, true, false);
                }
                Flushed::Part => return,
                Flushed::Failed => {
                    self.end_call(room, no);
                    return self.settle_vote(room, Word::Errored);
                }
            }
        }
        let Some(call) = self.calls.get_mut(&no).filter(|c| readiness.readable && c.written) else { return };
        let filled = call.connection.fill(room);
        let progress = call.intake.answer(&mut call.connection.input);
        let ends = filled == Filled::Ended && progress.is_ok() && call.intake.ends();
        let whole = progress == Ok(Progress::Whole) || ends;
        if !whole && matches!(filled, Filled::Some | Filled::Nothing) && progress.is_ok() {
            return;
        }
        let input = &call.connection.input;
        let status = AnswerHead::read(input).ok().flatten().filter(|_| whole).map(|h| h.status);
        let state = || serde_json::from_slice::<NewsTold>(&input[call.intake.body()]).ok();
        let word = match status {
            Some(200) => match state() {
                Some(told) => {
                    self.end_call(room, no);
                    return self.learn(room, told, true);
                }
                None => Word::TimedOut,
            },
            Some(429) => Word::Full,
            Some(409) => Word::Moot,
            Some(400 | 500) => Word::Errored,
            _ => Word::TimedOut,
        };
        self.end_call(room, no);
        self.settle_vote(room, word);
    }
}
