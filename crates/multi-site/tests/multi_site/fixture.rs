//! One gateway's decisions with a scripted gateway at the other site, and a trace of the actions.

use harrierdock_multi_site::{
    Action, Event, InboundId, MultiSite, MultiSiteConfig, PathId, RequestClass,
};
use harrierdock_site_messages::{
    ForwardedRequest, ForwardingOutcome, ForwardingResponse, GatewayName, Heartbeat, SiteMessage,
};
use harrierdock_types::{
    BuildId, ClassId, IdempotencyScope, RequestId, RetrySafety, TimeDelta, Timestamp,
};

pub const MS: TimeDelta = TimeDelta(1_000);

/// The only path.
pub const PATH: PathId = PathId(1);
/// The incarnations of the two ends of the path.
pub const OWN_INCARNATION: u64 = 5;
pub const PEER_INCARNATION: u64 = 77;

/// The request classes, as positions in the configuration.
pub const DRAFT: usize = 0;
pub const PAYMENT: usize = 1;
pub const LEDGER: usize = 2;
pub const LODGE: usize = 3;

pub fn gateway_name(site: &str, gateway: &str) -> GatewayName {
    GatewayName {
        site: site.into(),
        gateway: gateway.into(),
    }
}

fn class(name: &str, retry_safety: RetrySafety, deduplicates_across_sites: bool) -> RequestClass {
    RequestClass {
        name: name.into(),
        retry_safety,
        latency_objective: MS * 400.0,
        timeout: MS * 1500.0,
        priority_weight: 1.0,
        deduplicates_across_sites,
    }
}

fn config() -> MultiSiteConfig {
    let with_key = RetrySafety::IdempotencyKey {
        scope: IdempotencyScope::All,
        deduplication_window: MS * 1000.0,
    };
    MultiSiteConfig {
        own_name: gateway_name("hobart", "h0"),
        address: None,
        incarnation: OWN_INCARNATION,
        other_site: "launceston".into(),
        seeds: vec![(
            gateway_name("launceston", "l0"),
            "127.0.0.1:1".parse().unwrap(),
        )],
        classes: vec![
            class("draft", RetrySafety::Idempotent, false),
            class("payment", with_key, true),
            class("ledger", with_key, false),
            class("lodge", RetrySafety::NonIdempotent, false),
        ],
        slow_start_window: MS * 2000.0,
        tick: MS * 5.0,
        retry_after: None,
        stored_response_bytes: 1000,
        seed: 3,
    }
}

pub struct Fixture {
    pub site: MultiSite,
    pub now: Timestamp,
    /// The sequence number of the newest heartbeat received from the other end.
    pub peer_sequence: u32,
    /// The sequence number of the newest heartbeat that this gateway sent.
    pub own_sequence: u32,
    pub trace: String,
}

impl Fixture {
    /// A gateway with four ready endpoints and a usable path.
    pub fn new() -> Fixture {
        let now = Timestamp(1_000_000_000);
        let mut fixture = Fixture {
            site: MultiSite::new(now, config()),
            now,
            peer_sequence: 0,
            own_sequence: 0,
            trace: String::new(),
        };
        fixture.handle(Event::EndpointsUpdated { ready: 4 });
        fixture.handle(Event::PathOpened {
            path: PATH,
            peer: gateway_name("launceston", "l0"),
        });
        fixture.receive_heartbeats(3);
        fixture.trace.clear();
        fixture
    }

    pub fn handle(&mut self, event: Event) {
        for action in self.site.handle(self.now, event) {
            self.trace_action(action);
        }
    }

    pub fn receive(&mut self, message: SiteMessage) {
        self.handle(Event::MessageReceived {
            path: PATH,
            message,
        });
    }

    fn trace_action(&mut self, action: Action) {
        let line = match action {
            Action::Send {
                message: SiteMessage::Heartbeat(heartbeat),
                ..
            } => {
                self.own_sequence = heartbeat.sequence;
                return;
            }
            Action::SetTimer { .. } | Action::Connect { .. } => return,
            Action::ServeLocally { id, remaining } => {
                format!("{} served locally, {} ms left", id.0, remaining.0 / 1000)
            }
            Action::Forward {
                id,
                forwarding_id,
                receiver_incarnation,
                remaining,
                ..
            } => format!(
                "{} forwarded as {forwarding_id} to {receiver_incarnation}, {} ms left",
                id.0,
                remaining.0 / 1000
            ),
            Action::Succeed { id, .. } => format!("{} succeeded", id.0),
            Action::Reject { id, .. } => format!("{} rejected", id.0),
            Action::Fail { id } => format!("{} failed", id.0),
            Action::ServeInbound {
                inbound, remaining, ..
            } => format!(
                "serve inbound {}, {} ms left",
                inbound.0,
                remaining.0 / 1000
            ),
            Action::AbandonInbound { inbound } => format!("abandon inbound {}", inbound.0),
            Action::ClosePath { .. } => "close path".into(),
            Action::Send {
                message: SiteMessage::Response(response),
                ..
            } => format!(
                "response to {}: {:?}, {} bytes",
                response.forwarding_id,
                response.outcome,
                response.body.len()
            ),
            Action::Send { message, .. } => format!("{message:?}"),
            Action::StatusChanged(change) => format!("{change:?}"),
        };
        self.trace += &format!("{line}\n");
    }

    /// Receives the other end's next heartbeat one interval later, with credit for all request classes.
    pub fn receive_heartbeat(&mut self, incarnation: u64, echoes: bool) {
        self.now = self.now + MS * 100.0;
        self.handle(Event::TimerFired);
        self.peer_sequence += 1;
        let grants = ["draft", "payment", "ledger", "lodge"]
            .map(|class| (class.to_string(), 20))
            .into();
        self.receive(SiteMessage::Heartbeat(Heartbeat {
            incarnation,
            sequence: self.peer_sequence,
            echo: if echoes { self.own_sequence } else { 0 },
            grants,
            ..Heartbeat::default()
        }));
    }

    /// Receives heartbeats that echo this gateway's heartbeats.
    pub fn receive_heartbeats(&mut self, count: usize) {
        (0..count).for_each(|_| self.receive_heartbeat(PEER_INCARNATION, true));
    }

    /// Advances the time without a message from the other end.
    pub fn advance_time(&mut self, ms: i64) {
        let until = self.now + MS * ms as f64;
        while self.now < until {
            self.now = self.now + MS * 10.0;
            self.handle(Event::TimerFired);
        }
    }

    pub fn receive_request(&mut self, id: u64, class: usize) {
        self.handle(Event::RequestReceived {
            id: RequestId(id),
            class: ClassId(class),
            remaining: MS * 1500.0,
        });
    }

    /// Reports that the local policy is about to reject a client's request.
    pub fn reject_locally(&mut self, id: u64, class: usize, remaining_ms: f64) {
        self.handle(Event::LocallyRejected {
            id: RequestId(id),
            class: ClassId(class),
            remaining: MS * remaining_ms,
            timeout: MS * remaining_ms,
        });
    }

    pub fn receive_response(&mut self, forwarding_id: u64, outcome: ForwardingOutcome) {
        self.receive(SiteMessage::Response(ForwardingResponse {
            forwarding_id,
            sender_incarnation: OWN_INCARNATION,
            outcome,
            build: None,
            body: vec![1],
        }));
    }

    /// Receives a request that the other end forwarded after its heartbeat with this sequence number.
    pub fn receive_inbound(&mut self, forwarding_id: u64, class: &str, heartbeat_sequence: u32) {
        self.receive(SiteMessage::Request(ForwardedRequest {
            forwarding_id,
            sender_incarnation: PEER_INCARNATION,
            receiver_incarnation: OWN_INCARNATION,
            heartbeat_sequence,
            class: class.to_string(),
            remaining_ms: 1000,
            ..ForwardedRequest::default()
        }));
    }

    /// Completes an inbound request successfully with a body of 600 bytes.
    pub fn complete_inbound(&mut self, inbound: u64) {
        self.handle(Event::InboundCompleted {
            inbound: InboundId(inbound),
            outcome: ForwardingOutcome::Succeeded,
            build: Some(BuildId(4)),
            body: vec![0; 600],
        });
    }
}
