//! Flow export: what `crates/flow-metering` has summed goes to collectors by UDP, TCP or TLS, and to a file. Nothing here
//! waits: all is moved on at the wheel's turns, by sockets that never block and buffers of its own; files are
//! written by a helper thread.

use std::collections::{BTreeMap, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use harrierdock_config::Names;
use harrierdock_flow_metering::{
    DroppedFlows as Dropped, Flow, FlowCounters, FlowMeter as Flows, FlowOutcome as Outcome,
    FlowPath as Way, Observation, PendingFlows as Pending, RecordKind as Kind,
    DURATION_BUCKETS as BUCKETS, MAX_FLOW_KEYS as KEYS,
};
use harrierdock_ipfix::{
    DataType as Type, InformationElement as Element, MessageWriter as Writer, Semantics, Template,
    Value, WireFormat as Form, ENTERPRISE_NUMBER as ENTERPRISE,
};
use harrierdock_site_transport::Credentials;
use harrierdock_types::{AttemptOutcome as Ended, ClassId, EndpointId, RolloutUpdate};
use harrierdock_types::{TimeDelta, Timestamp};
use nanorand::{Rng, WyRand};
use rustls::{ClientConfig, ClientConnection, RootCertStore};
use socket2::{Domain, Protocol, Socket, Type as SocketType};

use crate::config::extensions::{CollectorRoad, CollectorTold, FlowForm, FlowsTold, With};
use crate::flow_export::file::FlowFile;

/// What an IPFIX message may take over UDP where the path's size is not known (RFC 7011, 10.3.3).
const UDP_MOST: usize = 1400;
const STREAM_MOST: usize = 8 * 1024;
/// What is allowed and not used is saved for so long.
const SAVED: TimeDelta = TimeDelta(2_000_000);
/// Octets written for a collector and not taken by its socket, at the most.
const WAITING_MOST: usize = 64 * 1024;
/// Messages to one UDP collector in one turn, so that a burst does not overrun it.
const UDP_BURST: usize = 16;
/// Over UDP templates are sent again this often (RFC 7011, 8.4), and statistics everywhere.
const TEMPLATES_EVERY: TimeDelta = TimeDelta(10_000_000);
const STATISTICS_EVERY: TimeDelta = TimeDelta(5_000_000);
/// How long a connection may take, and the pauses between tries: doubled, with jitter, up to the most.
const CONNECT: TimeDelta = TimeDelta(2_000_000);
const PAUSE: TimeDelta = TimeDelta(250_000);
const PAUSE_MOST: TimeDelta = TimeDelta(8_000_000);
/// What was written so lately when a connection breaks may not have arrived.
const IN_DOUBT: TimeDelta = TimeDelta(1_000_000);
/// Releases whose shares wait for one collector, at the most.
const SHARES_MOST: usize = 256;
/// Rows of the last tally, at the most.
const TALLIES_MOST: usize = 512;
const MILLION: u64 = 1_000_000;

const fn iana(
    id: u16,
    name: &'static str,
    kind: Type,
    semantics: Semantics,
    units: u16,
) -> Element {
    Element {
        enterprise: None,
        id,
        name,
        data_type: kind,
        semantics,
        units,
    }
}

const fn own(id: u16, name: &'static str, kind: Type, semantics: Semantics, units: u16) -> Element {
    Element {
        enterprise: Some(ENTERPRISE),
        id,
        name,
        data_type: kind,
        semantics,
        units,
    }
}

use Semantics::{
    Default as Plain, DeltaCounter as Delta, Identifier, Quantity, TotalCounter as Total,
};
use Type::{
    DateTimeMilliseconds as Milliseconds, String as Text, Unsigned16, Unsigned32, Unsigned64,
    Unsigned8,
};

const START: Element = iana(152, "flowStartMilliseconds", Milliseconds, Plain, 0);
const END: Element = iana(153, "flowEndMilliseconds", Milliseconds, Plain, 0);
const BUILD: Element = own(1, "hdBuild", Unsigned32, Identifier, 0);
const STAGE: Element = own(2, "hdStage", Unsigned8, Identifier, 0);
const PRODUCT: Element = own(3, "hdProduct", Text, Plain, 0);
const OUTCOME: Element = own(4, "hdOutcome", Text, Plain, 0);
const ROAD: Element = own(5, "hdRoad", Text, Plain, 0);
const SERVER: Element = own(6, "hdServer", Text, Plain, 0);
const COUNT: Element = own(7, "hdCount", Unsigned64, Delta, 0);
const SECOND: Element = own(8, "hdSecondSubmissions", Unsigned64, Delta, 0);
const LATE: Element = own(9, "hdLate", Unsigned64, Delta, 0);
const TIME: Element = own(10, "hdTimeMicroseconds", Unsigned64, Delta, 0);
const OUT: Element = own(11, "hdRequestOctets", Unsigned64, Delta, 2);
const BACK: Element = own(12, "hdAnswerOctets", Unsigned64, Delta, 2);
const CAP: Element = own(13, "hdCapPartsPerMillion", Unsigned32, Quantity, 0);
const TAKEN: Element = own(14, "hdTaken", Unsigned64, Delta, 0);
const RECORDED: [Element; 2] = [
    own(15, "hdRecordedSubmissions", Unsigned64, Total, 0),
    own(16, "hdRecordedTxns", Unsigned64, Total, 0),
];
const DROPPED: [Element; 2] = [
    own(17, "hdDroppedSubmissions", Unsigned64, Total, 0),
    own(18, "hdDroppedTxns", Unsigned64, Total, 0),
];
const TIMES: [Element; BUCKETS] = [
    own(21, "hdTimesUpToEighthSla", Unsigned64, Delta, 0),
    own(22, "hdTimesUpToQuarterSla", Unsigned64, Delta, 0),
    own(23, "hdTimesUpToHalfSla", Unsigned64, Delta, 0),
    own(24, "hdTimesUpToSla", Unsigned64, Delta, 0),
    own(25, "hdTimesUpToTwiceSla", Unsigned64, Delta, 0),
    own(26, "hdTimesUpToFourSla", Unsigned64, Delta, 0),
    own(27, "hdTimesUpToEightSla", Unsigned64, Delta, 0),
    own(28, "hdTimesBeyond", Unsigned64, Delta, 0),
];
const PROCESS: Element = iana(144, "exportingProcessId", Unsigned32, Identifier, 0);
const MESSAGES: Element = iana(41, "exportedMessageTotalCount", Unsigned64, Total, 0);
const EXPORTED: Element = iana(42, "exportedFlowRecordTotalCount", Unsigned64, Total, 0);
const NOT_SENT: Element = iana(166, "notSentFlowTotalCount", Unsigned64, Total, 0);
const IGNORED: Element = iana(164, "ignoredPacketTotalCount", Unsigned64, Total, 0);
/// Type records (RFC 5610, 3.9).
const TYPE_FIELDS: [Element; 6] = [
    iana(346, "privateEnterpriseNumber", Unsigned32, Identifier, 0),
    iana(303, "informationElementId", Unsigned16, Identifier, 0),
    iana(339, "informationElementDataType", Unsigned8, Plain, 0),
    iana(344, "informationElementSemantics", Unsigned8, Plain, 0),
    iana(345, "informationElementUnits", Unsigned16, Plain, 0),
    iana(341, "informationElementName", Text, Plain, 0),
];

struct Templates {
    submissions: Template,
    requests: Template,
    shares: Template,
    statistics: Template,
    types: Template,
}

impl Templates {
    fn new() -> Templates {
        let sums = [&[COUNT, SECOND, LATE, TIME][..], &TIMES, &[OUT, BACK]].concat();
        let template = |id, scope, fields: Vec<Element>| Template {
            id,
            scope_field_count: scope,
            fields,
        };
        let head = [START, END, PRODUCT, OUTCOME, ROAD];
        Templates {
            submissions: template(256, 0, [&head[..], &[BUILD, STAGE, SERVER], &sums].concat()),
            requests: template(257, 0, [&head[..], &sums].concat()),
            shares: template(258, 0, vec![START, END, BUILD, STAGE, CAP, TAKEN, COUNT]),
            statistics: template(
                259,
                1,
                [
                    &[PROCESS, MESSAGES, EXPORTED, NOT_SENT, IGNORED][..],
                    &RECORDED,
                    &DROPPED,
                ]
                .concat(),
            ),
            types: template(260, 2, TYPE_FIELDS.to_vec()),
        }
    }

    fn all(&self) -> [&Template; 5] {
        [
            &self.submissions,
            &self.requests,
            &self.shares,
            &self.statistics,
            &self.types,
        ]
    }
}

/// How a release stands beside its cap, over an interval.
#[derive(Clone, Copy)]
struct Share {
    from: Timestamp,
    until: Timestamp,
    exposure_limit: u64,
    taken: u64,
    submissions: u64,
}

/// A message with what it says, until it is with the socket.
struct Sealed {
    bytes: Vec<u8>,
    flows: Vec<Flow>,
}

enum Line {
    Udp(UdpSocket),
    Stream(Box<Stream>),
    /// Not connected; tried again at this point.
    Resting(Timestamp),
}

struct Stream {
    socket: TcpStream,
    since: Timestamp,
    up: bool,
    tls: Option<ClientConnection>,
    /// Octets of the first message that have gone already.
    gone: usize,
    /// What was written lately.
    lately: VecDeque<(Timestamp, u64)>,
}

/// What goes one way: what waits, and the messages made of it.
pub struct Outbox {
    form: Form,
    most: usize,
    /// How often templates are told again, if at all.
    again: Option<TimeDelta>,
    pub pending: Pending,
    shares: BTreeMap<(u32, u8), Share>,
    writer: Writer,
    sealed: VecDeque<Sealed>,
    templates_due: Timestamp,
    statistics_due: Timestamp,
    messages: u64,
    records: u64,
    octets: u64,
}

struct Collector {
    told: CollectorTold,
    tls: Option<Arc<ClientConfig>>,
    outbox: Outbox,
    line: Line,
    tries: u32,
    in_doubt: u64,
    /// Octets that may be sealed by now, and when that was reckoned.
    allowed: f64,
    reckoned: Timestamp,
}

/// What is summed up when all is over, for one collector.
pub struct Tally {
    pub name: String,
    pub dropped: Dropped,
    pub messages: u64,
    pub records: u64,
    pub in_doubt: u64,
}

pub struct Export {
    told: FlowsTold,
    flows: Flows,
    templates: Templates,
    collectors: Vec<Collector>,
    file: Option<FlowFile>,
    chance: WyRand,
    slas: Vec<TimeDelta>,
    start: Timestamp,
    /// The newest build told, its stage, and its cap in parts of a million.
    stage: (u32, u8, u64),
    taken: u64,
    by_build: BTreeMap<u32, u64>,
    /// All that was recorded, by kind, build and request class: what the sums are checked against.
    tally: BTreeMap<(Kind, u32, ClassId), u64>,
    share_from: Timestamp,
}

fn outcome(ended: Ended) -> Outcome {
    match ended {
        Ended::Succeeded => Outcome::Succeeded,
        Ended::ServerError => Outcome::ServerError,
        Ended::Rejected => Outcome::Rejected,
        Ended::TimedOut => Outcome::TimedOut,
        Ended::ConnectFailed => Outcome::ConnectFailed,
        Ended::Reset => Outcome::Reset,
        Ended::Cancelled => Outcome::Cancelled,
        Ended::NotSent => Outcome::NotSent,
    }
}

/// A attempt that ended, as the driver saw it.
pub struct Submission {
    pub class: ClassId,
    pub build: u32,
    pub endpoint: usize,
    pub ended: Ended,
    pub duration: TimeDelta,
    pub second: bool,
    pub inward: bool,
    pub out: usize,
    pub back: usize,
}

fn kind_name(kind: Kind) -> &'static str {
    match kind {
        Kind::Attempt => "submission",
        Kind::Request => "txn",
    }
}

fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Succeeded => "served",
        Outcome::ServerError => "errored",
        Outcome::Rejected => "full",
        Outcome::TimedOut => "timed-out",
        Outcome::ConnectFailed => "connect-failed",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "recalled",
        Outcome::NotSent => "moot",
        Outcome::RequestSucceeded => "settled",
        Outcome::RequestRejected => "declined",
        Outcome::RequestFailed => "voided",
        Outcome::ClientDisconnected => "left",
    }
}

fn path_name(path: Way) -> &'static str {
    match path {
        Way::Local => "here",
        Way::Forwarded => "across",
        Way::Inbound => "inward",
    }
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// Client's end of TLS on TCP, with the keys that the file names.
fn tls(credentials: &Credentials) -> Result<Arc<ClientConfig>, String> {
    let mut roots = RootCertStore::empty();
    for certificate in &credentials.authority {
        roots
            .add(certificate.clone())
            .map_err(|e| format!("authority: {e}"))?;
    }
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|e| e.to_string())?
        .with_root_certificates(roots)
        .with_client_auth_cert(credentials.chain.clone(), credentials.key.clone_key())
        .map_err(|e| e.to_string())?;
    Ok(Arc::new(config))
}

impl Outbox {
    pub fn new(
        now: Timestamp,
        form: Form,
        domain: u32,
        most: usize,
        again: Option<TimeDelta>,
    ) -> Outbox {
        Outbox {
            form,
            most,
            again,
            pending: Pending::new(KEYS),
            shares: BTreeMap::new(),
            writer: Writer::new(form, domain, most),
            sealed: VecDeque::new(),
            templates_due: now,
            statistics_due: now,
            messages: 0,
            records: 0,
            octets: 0,
        }
    }

    /// A new session, with its templates and its sequence.
    pub fn begin(&mut self, now: Timestamp, domain: u32) {
        self.writer = Writer::new(self.form, domain, self.most);
        (self.templates_due, self.statistics_due) = (now, now);
    }

    /// The next message, taken out.
    pub fn next(&mut self) -> Option<Vec<u8>> {
        self.messages += u64::from(!self.sealed.is_empty());
        self.sealed.pop_front().map(|s| s.bytes)
    }

    /// What was sealed waits again.
    fn unseal(&mut self) {
        for sealed in std::mem::take(&mut self.sealed) {
            sealed
                .flows
                .into_iter()
                .for_each(|flow| self.pending.add(flow));
        }
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty() && self.shares.is_empty()
    }

    fn share(&mut self, of: (u32, u8), share: Share) {
        let room = self.shares.len() < SHARES_MOST;
        match self.shares.get_mut(&of) {
            Some(held) => {
                (held.until, held.exposure_limit) = (share.until, share.exposure_limit);
                held.taken += share.taken;
                held.submissions += share.submissions;
            }
            None if room => {
                self.shares.insert(of, share);
            }
            None => {}
        }
    }

    /// Writes what waits into messages, as much as the socket is likely to take.
    pub fn seal(&mut self, now: Timestamp, export: &Sources, most: usize) {
        let Sources {
            templates, names, ..
        } = export;
        let waiting: usize = self.sealed.iter().map(|s| s.bytes.len()).sum();
        let (mut room, mut flows) = (most.saturating_sub(waiting), Vec::new());
        if now >= self.templates_due && room > 0 {
            let told = templates
                .all()
                .into_iter()
                .try_for_each(|t| self.writer.add_template(t));
            let own = templates
                .all()
                .into_iter()
                .flat_map(|t| &t.fields)
                .filter(|f| f.enterprise.is_some());
            let mut seen = Vec::new();
            for field in own.filter(|_| self.form == Form::Ipfix) {
                if !seen.contains(&field.id) {
                    seen.push(field.id);
                    let values = [
                        Value::Number(u64::from(ENTERPRISE)),
                        Value::Number(u64::from(field.id)),
                        Value::Number(field.data_type as u64),
                        Value::Number(field.semantics as u64),
                        Value::Number(u64::from(field.units)),
                        Value::from(field.name),
                    ];
                    let _ = self.writer.add_record(&templates.types, &values);
                }
            }
            debug_assert!(told.is_ok(), "templates fit a message");
            self.templates_due = self.again.map_or(Timestamp(i64::MAX), |again| now + again);
        }
        if now >= self.statistics_due && room > 0 {
            let dropped = self.pending.dropped();
            let values: Vec<Value> = [
                u64::from(std::process::id()),
                self.messages,
                self.records,
                dropped.flows,
                export.ignored,
            ]
            .into_iter()
            .chain(export.recorded)
            .chain(dropped.counts)
            .map(Value::Number)
            .collect();
            let _ = self.writer.add_record(&templates.statistics, &values);
            self.statistics_due = now + STATISTICS_EVERY;
        }
        let at = |point: Timestamp| {
            export
                .unix_ms
                .saturating_sub(((now - point).0 / 1000).max(0) as u64)
        };
        while room > 0 {
            let Some((key, share)) = self.shares.pop_first() else {
                break;
            };
            let values = [
                at(share.from),
                at(share.until),
                u64::from(key.0),
                u64::from(key.1),
                share.exposure_limit,
                share.taken,
                share.submissions,
            ];
            let _ = self
                .writer
                .add_record(&templates.shares, &values.map(Value::Number));
            room = room.saturating_sub(64);
        }
        while room > 0 {
            let Some(flow) = self.pending.pop_first() else {
                break;
            };
            let key = flow.key;
            let class = names.classes.name(ClassId(usize::from(key.class)));
            let mut values = vec![
                Value::Number(at(flow.start)),
                Value::Number(at(flow.end)),
                Value::from(class),
                Value::from(outcome_name(key.outcome)),
                Value::from(path_name(key.path)),
            ];
            let template = match key.kind {
                Kind::Attempt => {
                    let endpoint = key
                        .endpoint
                        .and_then(|s| names.endpoints.name(EndpointId(s as usize)))
                        .unwrap_or("");
                    values.extend([
                        Value::Number(u64::from(key.build)),
                        Value::Number(u64::from(key.stage)),
                        Value::from(endpoint),
                    ]);
                    &templates.submissions
                }
                Kind::Request => &templates.requests,
            };
            let FlowCounters {
                count,
                retries: second,
                late,
                duration_us: time,
                duration_histogram: times,
                request_octets: out,
                response_octets: back,
            } = flow.counters;
            let sums = [count, second, late, time]
                .into_iter()
                .chain(times)
                .chain([out, back]);
            values.extend(sums.map(Value::Number));
            let written = self.writer.add_record(template, &values);
            debug_assert!(written.is_ok(), "a record fits a message");
            flows.push(flow);
            self.collect(now, export, &mut flows, false);
            room = room.saturating_sub(200);
        }
        self.writer.flush();
        self.collect(now, export, &mut flows, true);
    }

    /// Takes the messages that are done. A message's flows are those recorded until it was done, but for the one
    /// that began the next.
    fn collect(&mut self, now: Timestamp, export: &Sources, flows: &mut Vec<Flow>, all: bool) {
        let up = ((now - export.start).0 / 1000) as u32;
        let done = self
            .writer
            .take_messages((export.unix_ms / 1000) as u32, up);
        let last = done.len().saturating_sub(1);
        for (at, message) in done.into_iter().enumerate() {
            let keep = usize::from(!all || at < last);
            let own = flows.drain(..flows.len().saturating_sub(keep)).collect();
            self.records += u64::from(message.record_count);
            self.octets += message.octets.len() as u64;
            self.sealed.push_back(Sealed {
                bytes: message.octets,
                flows: own,
            });
        }
    }
}

impl Collector {
    fn new(
        now: Timestamp,
        told: &CollectorTold,
        with: &With,
        domain: u32,
    ) -> Result<Collector, String> {
        let tls = match &told.keys {
            Some(files) => Some(tls(
                &with.read_keys(files, &format!("flows.collectors.{}.keys", told.name))?
            )?),
            None => None,
        };
        let form = if told.form == FlowForm::V9 {
            Form::NetflowV9
        } else {
            Form::Ipfix
        };
        let udp = told.road == CollectorRoad::Udp;
        let most = if udp {
            told.message_octets.unwrap_or(UDP_MOST)
        } else {
            STREAM_MOST
        };
        // Over a connection templates are told once.
        let outbox = Outbox::new(now, form, domain, most, udp.then_some(TEMPLATES_EVERY));
        Ok(Collector {
            told: told.clone(),
            tls,
            outbox,
            line: Line::Resting(now),
            tries: 0,
            in_doubt: 0,
            allowed: 0.0,
            reckoned: now,
        })
    }

    /// Goes on to the next try after a while. What was not sent waits again.
    fn rest(&mut self, now: Timestamp, chance: &mut WyRand, domain: u32, why: &str) {
        if self.tries == 0 {
            tracing::warn!(
                "flows: collector {} at {}: {why}",
                self.told.name,
                self.told.address
            );
        }
        if let Line::Stream(stream) = &self.line {
            let lately = stream
                .lately
                .iter()
                .filter(|(at, _)| now - *at < IN_DOUBT)
                .map(|(_, n)| n);
            self.in_doubt += lately.sum::<u64>();
        }
        self.outbox.unseal();
        let wait = (PAUSE * f64::powi(2.0, self.tries.min(8) as i32)).min(PAUSE_MOST);
        self.line = Line::Resting(now + wait * (0.5 + chance.generate::<f64>()));
        self.tries += 1;
        // Each connection is a session of its own; that of datagrams goes on, with its templates told again.
        if self.told.road != CollectorRoad::Udp {
            self.outbox.begin(now, domain);
        }
        (self.outbox.templates_due, self.outbox.statistics_due) = (now, now);
    }

    fn open(&mut self, now: Timestamp) -> std::io::Result<()> {
        let address: SocketAddr = self.told.address;
        if self.told.road == CollectorRoad::Udp {
            let unspecified = if address.is_ipv4() {
                "0.0.0.0:0"
            } else {
                "[::]:0"
            };
            let socket = UdpSocket::bind(unspecified)?;
            socket.set_nonblocking(true)?;
            socket.connect(address)?;
            self.line = Line::Udp(socket);
            return Ok(());
        }
        let kind = SocketType::STREAM.nonblocking().cloexec();
        let socket = Socket::new(Domain::for_address(address), kind, Some(Protocol::TCP))?;
        match socket.connect(&address.into()) {
            Err(e) if e.raw_os_error() != Some(rustix::io::Errno::INPROGRESS.raw_os_error()) => {
                return Err(e)
            }
            _ => {}
        }
        let tls = match &self.tls {
            Some(config) => {
                let name = self
                    .told
                    .server_name
                    .clone()
                    .unwrap_or_else(|| address.ip().to_string());
                let name =
                    rustls_pki_types::ServerName::try_from(name).map_err(std::io::Error::other)?;
                Some(ClientConnection::new(config.clone(), name).map_err(std::io::Error::other)?)
            }
            None => None,
        };
        let lately = VecDeque::new();
        let stream = Stream {
            socket: socket.into(),
            since: now,
            up: false,
            tls,
            gone: 0,
            lately,
        };
        self.line = Line::Stream(Box::new(stream));
        Ok(())
    }

    /// Whether something may be written now; `Err` says why the line is of no use any more.
    fn is_up(&mut self, now: Timestamp) -> Result<bool, String> {
        match &mut self.line {
            Line::Udp(_) => Ok(true),
            Line::Resting(_) => Ok(false),
            Line::Stream(stream) => stream.is_up(now),
        }
    }

    /// Sends what is sealed, as far as it goes. `Err` says why the line is of no use any more.
    fn send(&mut self, now: Timestamp) -> Result<(), String> {
        match &mut self.line {
            Line::Resting(_) => Ok(()),
            Line::Udp(socket) => {
                for _ in 0..UDP_BURST {
                    let Some(sealed) = self.outbox.sealed.front() else {
                        return Ok(());
                    };
                    match socket.send(&sealed.bytes) {
                        Ok(_) => {
                            self.outbox.sealed.pop_front();
                            self.outbox.messages += 1;
                        }
                        Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                        // Word of an earlier datagram that found nobody: this one was not sent.
                        Err(e) => return Err(e.to_string()),
                    }
                }
                Ok(())
            }
            Line::Stream(stream) => {
                while let Some(sealed) = self.outbox.sealed.front() {
                    if !stream.write(&sealed.bytes)? {
                        return Ok(());
                    }
                    let count = sealed.flows.iter().map(|f| f.counters.count).sum();
                    stream.lately.push_back((now, count));
                    while stream.lately.front().is_some_and(|l| now - l.0 > IN_DOUBT) {
                        stream.lately.pop_front();
                    }
                    self.outbox.sealed.pop_front();
                    self.outbox.messages += 1;
                }
                Ok(())
            }
        }
    }

    fn drive(&mut self, now: Timestamp, chance: &mut WyRand, export: &Sources) {
        if let Line::Resting(until) = self.line {
            if now < until {
                return;
            }
            if let Err(e) = self.open(now) {
                return self.rest(now, chance, export.domain, &e.to_string());
            }
        }
        let done = self.is_up(now).and_then(|up| {
            if up {
                if self.tries > 0 && self.told.road != CollectorRoad::Udp {
                    tracing::info!("flows: collector {} is reached", self.told.name);
                    self.tries = 0;
                }
                let most = if self.told.road == CollectorRoad::Udp {
                    UDP_BURST * UDP_MOST
                } else {
                    WAITING_MOST
                };
                // Guards against a gateway that suddenly carries much of the traffic, or has much to make up for,
                // sending at another rate than before. At the end all goes.
                let (rate, waited) = (
                    f64::from(self.told.octets_a_second),
                    (now - self.reckoned).as_seconds(),
                );
                self.allowed = (self.allowed + rate * waited).min(rate * SAVED.as_seconds());
                self.reckoned = now;
                let most = if export.ends {
                    most
                } else {
                    most.min(self.allowed as usize)
                };
                let before = self.outbox.octets;
                self.outbox.seal(now, export, most);
                self.allowed -= (self.outbox.octets - before) as f64;
                self.send(now)?;
            }
            Ok(())
        });
        if let Err(e) = done {
            self.rest(now, chance, export.domain, &e);
        }
    }

    fn tally(&self) -> Tally {
        let Outbox {
            pending,
            messages,
            records,
            ..
        } = &self.outbox;
        let (name, dropped, in_doubt) = (self.told.name.clone(), pending.dropped(), self.in_doubt);
        Tally {
            name,
            dropped,
            messages: *messages,
            records: *records,
            in_doubt,
        }
    }
}

impl Stream {
    fn is_up(&mut self, now: Timestamp) -> Result<bool, String> {
        if let Ok(Some(e)) | Err(e) = self.socket.take_error() {
            return Err(e.to_string());
        }
        if !self.up {
            self.up = self.socket.peer_addr().is_ok();
        }
        if self.up {
            self.read()?;
        }
        let handshakes = self.tls.as_ref().is_some_and(|tls| tls.is_handshaking());
        if handshakes && self.up {
            self.push()?;
        }
        if (!self.up || handshakes) && now - self.since > CONNECT {
            return Err("does not come up".into());
        }
        Ok(self.up && !handshakes)
    }

    /// What a collector says back is of no use; only that it has gone is.
    fn read(&mut self) -> Result<(), String> {
        let mut bytes = [0; 4096];
        // Guards against one that talks without end.
        for _ in 0..16 {
            let read = match &mut self.tls {
                Some(tls) => match tls.read_tls(&mut self.socket) {
                    Ok(n) if n > 0 => {
                        tls.process_new_packets().map_err(|e| e.to_string())?;
                        let _ = tls.reader().read(&mut bytes);
                        Ok(n)
                    }
                    other => other,
                },
                None => self.socket.read(&mut bytes),
            };
            match read {
                Ok(0) => return Err("has closed".into()),
                Ok(_) => {}
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
                    return Ok(())
                }
                Err(e) => return Err(e.to_string()),
            }
        }
        Ok(())
    }

    /// Moves what TLS has for the socket. Gives back whether all has gone.
    fn push(&mut self) -> Result<bool, String> {
        let Some(tls) = &mut self.tls else {
            return Ok(true);
        };
        while tls.wants_write() {
            match tls.write_tls(&mut self.socket) {
                Ok(_) => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(false),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e.to_string()),
            }
        }
        Ok(true)
    }

    /// Writes a message. Gives back whether all of it has gone.
    fn write(&mut self, bytes: &[u8]) -> Result<bool, String> {
        if !self.push()? {
            return Ok(false);
        }
        while self.gone < bytes.len() {
            let rest = &bytes[self.gone..];
            let written = match &mut self.tls {
                Some(tls) => tls.writer().write(rest),
                None => self.socket.write(rest),
            };
            match written {
                Ok(0) => return Ok(false),
                Ok(n) => self.gone += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(false),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e.to_string()),
            }
        }
        if !self.push()? {
            return Ok(false);
        }
        self.gone = 0;
        Ok(true)
    }
}

/// What all collectors are told alike.
pub struct Sources<'a> {
    templates: &'a Templates,
    names: &'a Names,
    start: Timestamp,
    unix_ms: u64,
    domain: u32,
    recorded: [u64; 2],
    ignored: u64,
    /// The gateway ends.
    ends: bool,
}

impl Export {
    /// None where the file tells of no export.
    pub fn open(
        now: Timestamp,
        with: &With,
        slas: Vec<TimeDelta>,
        seed: u64,
    ) -> Result<Option<Export>, String> {
        let Some(told) = &with.flows else {
            return Ok(None);
        };
        let collectors = told
            .collectors
            .iter()
            .map(|c| Collector::new(now, c, with, told.domain));
        let file = told
            .file
            .as_ref()
            .map(|f| FlowFile::open(now, with.path(&f.path), f, told.domain))
            .transpose()?;
        tracing::info!(
            "flows: {} collectors, told every {} ms",
            told.collectors.len(),
            told.active_ms
        );
        Ok(Some(Export {
            flows: Flows::new(now, told.active()),
            templates: Templates::new(),
            collectors: collectors.collect::<Result<_, _>>()?,
            file,
            chance: WyRand::new_seed(seed ^ 0xf10),
            slas,
            start: now,
            stage: (0, 0, 0),
            taken: 0,
            by_build: BTreeMap::new(),
            tally: BTreeMap::new(),
            share_from: now,
            told: told.clone(),
        }))
    }

    pub fn stage(&mut self, news: &RolloutUpdate) {
        let exposure_limit = (news.exposure_limit.clamp(0.0, 1.0) * MILLION as f64) as u64;
        self.stage = (news.build.0, news.stage.min(255) as u8, exposure_limit);
    }

    pub fn taken(&mut self) {
        self.taken += 1;
    }

    pub fn submission(&mut self, now: Timestamp, of: &Submission) {
        *self.by_build.entry(of.build).or_default() += 1;
        self.count(Kind::Attempt, of.build, of.class);
        let stage = if of.build == self.stage.0 {
            self.stage.1
        } else {
            0
        };
        self.flows.observe(
            now,
            &Observation {
                kind: Kind::Attempt,
                build: of.build,
                stage,
                class: of.class.0.min(255) as u8,
                outcome: outcome(of.ended),
                path: if of.inward { Way::Inbound } else { Way::Local },
                endpoint: u32::try_from(of.endpoint).ok(),
                is_retry: of.second,
                duration: of.duration,
                latency_objective: self.slas.get(of.class.0).copied().unwrap_or(TimeDelta(1)),
                request_octets: of.out as u64,
                response_octets: of.back as u64,
            },
        );
    }

    fn count(&mut self, kind: Kind, build: u32, class: ClassId) {
        // Builds beyond are counted together; only a log line depends on it.
        let build = if self.tally.len() < TALLIES_MOST {
            build
        } else {
            0
        };
        *self.tally.entry((kind, build, class)).or_default() += 1;
    }

    /// What was recorded, as one line of JSON: kind, build, request class, how many.
    pub fn tally(&self, names: &Names) -> String {
        let name = |p: ClassId| names.classes.name(p);
        let rows = self
            .tally
            .iter()
            .map(|((kind, build, p), n)| (kind_name(*kind), build, name(*p), n));
        serde_json::to_string(&rows.collect::<Vec<_>>()).unwrap_or_default()
    }

    pub fn request(
        &mut self,
        now: Timestamp,
        class: ClassId,
        outcome: Outcome,
        road: Way,
        duration: TimeDelta,
    ) {
        self.count(Kind::Request, 0, class);
        self.flows.observe(
            now,
            &Observation {
                kind: Kind::Request,
                build: 0,
                stage: 0,
                class: class.0.min(255) as u8,
                outcome,
                path: road,
                endpoint: None,
                is_retry: false,
                duration,
                latency_objective: self.slas.get(class.0).copied().unwrap_or(TimeDelta(1)),
                request_octets: 0,
                response_octets: 0,
            },
        );
    }

    pub fn next(&self) -> Timestamp {
        self.flows.next_expiry()
    }

    /// A turn of the wheel: what is due joins what waits, and all lines are moved on.
    pub fn turn(&mut self, now: Timestamp, names: &Names, ends: bool) {
        let due = if ends {
            self.flows.take_all(now)
        } else {
            self.flows.take_expired(now)
        };
        for collector in &mut self.collectors {
            due.iter()
                .for_each(|flow| collector.outbox.pending.add(*flow));
        }
        if now - self.share_from >= self.told.active() || ends {
            self.tell_shares(now);
        }
        let sources = Sources {
            templates: &self.templates,
            names,
            start: self.start,
            unix_ms: unix_ms(),
            domain: self.told.domain,
            recorded: self.flows.observed(),
            ignored: self.flows.ignored().iter().sum(),
            ends,
        };
        for collector in &mut self.collectors {
            collector.drive(now, &mut self.chance, &sources);
        }
        if let Some(file) = &mut self.file {
            file.turn(&due, |outbox| outbox.seal(now, &sources, WAITING_MOST));
        }
    }

    fn tell_shares(&mut self, now: Timestamp) {
        let (build, stage, exposure_limit) = self.stage;
        let taken = std::mem::take(&mut self.taken);
        for (of, submissions) in std::mem::take(&mut self.by_build) {
            // Whoever is not the newest has no cap.
            let (stage, exposure_limit) = if of == build {
                (stage, exposure_limit)
            } else {
                (0, MILLION)
            };
            let share = Share {
                from: self.share_from,
                until: now,
                exposure_limit,
                taken,
                submissions,
            };
            let boxes = self.collectors.iter_mut().map(|c| &mut c.outbox);
            boxes
                .chain(self.file.as_mut().map(|f| &mut f.outbox))
                .for_each(|b| b.share((of, stage), share));
        }
        self.share_from = now;
    }

    /// Turns to the collectors of a new file. Those of the same name keep what waits for them.
    pub fn renew(&mut self, now: Timestamp, with: &With) -> Result<(), String> {
        let Some(told) = &with.flows else {
            return Err("flows: export ends with the next start only".into());
        };
        let made = told
            .collectors
            .iter()
            .map(|c| Collector::new(now, c, with, told.domain));
        let mut collectors = made.collect::<Result<Vec<Collector>, String>>()?;
        for collector in &mut collectors {
            let same = self
                .collectors
                .iter()
                .position(|c| c.told.name == collector.told.name);
            let Some(mut old) = same.map(|at| self.collectors.swap_remove(at)) else {
                continue;
            };
            if old.told == collector.told && old.told.keys.is_none() {
                *collector = old;
                continue;
            }
            old.outbox.unseal();
            let (new, old) = (&mut collector.outbox, old.outbox);
            (new.pending, new.shares, new.messages, new.records) =
                (old.pending, old.shares, old.messages, old.records);
        }
        for mut gone in std::mem::take(&mut self.collectors) {
            gone.outbox.unseal();
            gone.outbox.pending.drop_all();
            let dropped = gone.outbox.pending.dropped().counts;
            tracing::warn!(
                "flows: collector {} is gone; given up in all: {dropped:?}",
                gone.told.name
            );
        }
        self.collectors = collectors;
        self.told.collectors.clone_from(&told.collectors);
        Ok(())
    }

    /// All is over: what waits is given up, and what became of everything is told.
    pub fn end(&mut self, now: Timestamp, names: &Names) -> ([u64; 2], Vec<Tally>) {
        self.turn(now, names, true);
        for collector in &mut self.collectors {
            collector.outbox.unseal();
            collector.outbox.pending.drop_all();
        }
        if let Some(file) = self.file.take() {
            file.close();
        }
        (
            self.flows.observed(),
            self.collectors.iter().map(Collector::tally).collect(),
        )
    }
}
