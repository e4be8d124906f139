//! Short traces of one gateway's part between the sites: what it is told, and what it asks for.

use expect_test::expect;
use harrierdock_multi_site::{
    Action, Event, MultiSite, MultiSiteConfig, OperatorCommand, RequestClass, RequestEnd,
};
use harrierdock_site_messages::{
    ForwardedRequest, ForwardingOutcome, ForwardingResponse, GatewayName, Heartbeat, SiteMessage,
};
use harrierdock_types::{BuildId, ClassId};
use harrierdock_types::{IdempotencyScope, RequestId, RetrySafety};
use harrierdock_types::{TimeDelta, Timestamp};

const MS: TimeDelta = TimeDelta(1_000);

fn party(site: &str, gateway: &str) -> GatewayName {
    GatewayName {
        site: site.into(),
        gateway: gateway.into(),
    }
}

fn class(name: &str, repeat: RetrySafety, spans: bool) -> RequestClass {
    let (name, latency_objective, expiry) = (name.into(), MS * 400.0, MS * 1500.0);
    RequestClass {
        name,
        repeat,
        latency_objective,
        expiry,
        priority_weight: 1.0,
        spans,
    }
}

struct Desk {
    sites: MultiSite,
    now: Timestamp,
    beat: u32,
    heard: u32,
    trace: String,
}

/// The other end is at incarnation 77, this one at 5.
fn desk() -> Desk {
    let referenced = RetrySafety::IdempotencyKey {
        scope: IdempotencyScope::All,
        deduplication_window: MS * 1000.0,
    };
    let place = MultiSiteConfig {
        own: party("hobart", "h0"),
        address: None,
        incarnation: 5,
        other_site: "launceston".into(),
        seeds: vec![(party("launceston", "l0"), "127.0.0.1:1".parse().unwrap())],
        classes: vec![
            class("draft", RetrySafety::Idempotent, false),
            class("payment", referenced, true),
            class("ledger", referenced, false),
            class("lodge", RetrySafety::NonIdempotent, false),
        ],
        warm: MS * 2000.0,
        tick: MS * 5.0,
        retry_after: None,
        memory: 1000,
        seed: 3,
    };
    let now = Timestamp(1_000_000_000);
    let mut desk = Desk {
        sites: MultiSite::new(now, place),
        now,
        beat: 0,
        heard: 0,
        trace: String::new(),
    };
    desk.tell(Event::EndpointsUpdated { ready: 4 });
    desk.tell(Event::PathOpened {
        road: 1,
        peer: party("launceston", "l0"),
    });
    desk.beats(3);
    desk.trace.clear();
    desk
}

impl Desk {
    fn tell(&mut self, event: Event) {
        for action in self.sites.take(self.now, event) {
            self.note(action);
        }
    }

    fn note(&mut self, action: Action) {
        let line = match action {
            Action::Send {
                letter: SiteMessage::Heartbeat(beat),
                ..
            } => {
                self.heard = beat.beat;
                return;
            }
            Action::SetTimer { .. } | Action::Connect { .. } => return,
            Action::ServeLocally { id, left } => {
                format!("{} here, {} ms left", id.0, left.0 / 1000)
            }
            Action::Forward {
                id,
                crossing,
                to,
                left,
                ..
            } => {
                format!(
                    "{} across as {crossing} to {to}, {} ms left",
                    id.0,
                    left.0 / 1000
                )
            }
            Action::Succeed { id, .. } => format!("{} settled", id.0),
            Action::Reject { id, .. } => format!("{} declined", id.0),
            Action::Fail { id } => format!("{} voided", id.0),
            Action::ServeInbound { inward, left, .. } => {
                format!("take in {inward}, {} ms left", left.0 / 1000)
            }
            Action::AbandonInbound { inward } => format!("abandon {inward}"),
            Action::ClosePath { .. } => "hang up".into(),
            Action::Send {
                letter: SiteMessage::Response(a),
                ..
            } => {
                format!(
                    "answer to {}: {:?}, {} bytes",
                    a.crossing,
                    a.verdict,
                    a.body.len()
                )
            }
            Action::Send { letter, .. } => format!("{letter:?}"),
            Action::StatusChanged(change) => format!("{change:?}"),
        };
        self.trace += &format!("{line}\n");
    }

    /// The other end's next beat, a round later, with credit for all request classes.
    fn beat(&mut self, incarnation: u64, echoes: bool) {
        self.now = self.now + MS * 100.0;
        self.tell(Event::TimerFired);
        self.beat += 1;
        let echo = if echoes { self.heard } else { 0 };
        let grants = ["draft", "payment", "ledger", "lodge"]
            .map(|p| (p.to_string(), 20))
            .into();
        let beat = Heartbeat {
            incarnation,
            beat: self.beat,
            echo,
            grants,
            ..Heartbeat::default()
        };
        self.tell(Event::MessageReceived {
            road: 1,
            letter: SiteMessage::Heartbeat(beat),
        });
    }

    fn beats(&mut self, count: usize) {
        (0..count).for_each(|_| self.beat(77, true));
    }

    fn pass(&mut self, ms: i64) {
        let until = self.now + MS * ms as f64;
        while self.now < until {
            self.now = self.now + MS * 10.0;
            self.tell(Event::TimerFired);
        }
    }

    fn txn(&mut self, id: u64, class: usize) {
        self.tell(Event::RequestReceived {
            id: RequestId(id),
            class: ClassId(class),
            left: MS * 1500.0,
        });
    }

    fn hear(&mut self, crossing: u64, verdict: ForwardingOutcome) {
        let answer = ForwardingResponse {
            crossing,
            to: 5,
            verdict,
            build: None,
            body: vec![1],
        };
        self.tell(Event::MessageReceived {
            road: 1,
            letter: SiteMessage::Response(answer),
        });
    }

    fn handover(&mut self, crossing: u64, class: &str, beat: u32) {
        let (class, left_ms) = (class.to_string(), 1000);
        let handover = ForwardedRequest {
            crossing,
            from: 77,
            to: 5,
            beat,
            class,
            left_ms,
            ..ForwardedRequest::default()
        };
        self.tell(Event::MessageReceived {
            road: 1,
            letter: SiteMessage::Request(handover),
        });
    }
}

#[test]
fn txns_stay_here_until_the_module_spares_them_and_what_crosses_never_crosses_again() {
    let mut desk = desk();
    desk.txn(1, 3);
    desk.tell(Event::LocallyRejected {
        id: RequestId(1),
        class: ClassId(3),
        left: MS * 1400.0,
    });
    desk.hear(1, ForwardingOutcome::Succeeded);
    desk.hear(1, ForwardingOutcome::Succeeded);
    desk.tell(Event::LocallyRejected {
        id: RequestId(2),
        class: ClassId(0),
        left: MS * 1400.0,
    });
    desk.hear(2, ForwardingOutcome::NotAccepted);
    // Too little time is left, and nobody waits to be told so.
    desk.tell(Event::LocallyRejected {
        id: RequestId(3),
        class: ClassId(0),
        left: MS * 50.0,
    });
    desk.hear(9, ForwardingOutcome::Succeeded);
    expect![[r#"
        1 here, 1500 ms left
        1 across as 1 to 77, 1395 ms left
        1 settled
        2 across as 2 to 77, 1395 ms left
        2 declined
        3 declined
    "#]]
    .assert_eq(&desk.trace);
    assert_eq!((desk.sites.tally().strange, desk.sites.owed()), (2, (0, 0)));
}

#[test]
fn after_a_cut_each_product_goes_its_own_way_and_a_lodge_is_settled_late_or_voided_once() {
    let mut desk = desk();
    desk.tell(Event::OperatorCommand(OperatorCommand::Drain));
    for (id, class) in [(1, 0), (2, 1), (3, 2), (4, 3), (5, 3)] {
        desk.txn(id, class);
    }
    // The road is lost: drafts and payments of a group at both sites are served here, the rest waits.
    desk.pass(800);
    desk.trace += "- the road is back\n";
    desk.beats(2);
    desk.hear(4, ForwardingOutcome::Succeeded);
    desk.hear(1, ForwardingOutcome::Succeeded);
    desk.pass(800);
    expect![[r#"
        1 across as 1 to 77, 1495 ms left
        2 across as 2 to 77, 995 ms left
        3 across as 3 to 77, 995 ms left
        4 across as 4 to 77, 1495 ms left
        5 across as 5 to 77, 1495 ms left
        TrafficMoved { location: FailedOver, reason: OperatorCommand }
        1 here, 695 ms left
        2 here, 195 ms left
        - the road is back
        StatusQuery { crossing: 3, from: 5, to: 77 }
        StatusQuery { crossing: 4, from: 5, to: 77 }
        StatusQuery { crossing: 5, from: 5, to: 77 }
        4 settled
        3 voided
        5 voided
    "#]]
    .assert_eq(&desk.trace);
}

#[test]
fn one_that_is_heard_but_does_not_hear_us_is_no_road() {
    let mut desk = desk();
    (0..8).for_each(|_| desk.beat(77, false));
    desk.tell(Event::OperatorCommand(OperatorCommand::Drain));
    desk.txn(1, 0);
    assert!(
        desk.trace.ends_with("1 here, 1500 ms left\n"),
        "{}",
        desk.trace
    );
}

#[test]
fn a_gateway_that_has_started_anew_answers_nothing_of_before() {
    let mut desk = desk();
    desk.tell(Event::OperatorCommand(OperatorCommand::Drain));
    desk.txn(1, 3);
    desk.txn(2, 0);
    desk.handover(1, "draft", desk.beat);
    let record = harrierdock_site_messages::MemberRecord {
        party: party("launceston", "l0"),
        address: None,
        incarnation: 78,
        version: 1,
        standing: harrierdock_site_messages::MemberState::Serving,
    };
    for incarnation in [77, 78] {
        let record = harrierdock_site_messages::MemberRecord {
            incarnation,
            ..record.clone()
        };
        desk.beat += 1;
        let beat = Heartbeat {
            incarnation,
            beat: desk.beat,
            records: vec![record],
            ..Heartbeat::default()
        };
        desk.tell(Event::MessageReceived {
            road: 1,
            letter: SiteMessage::Heartbeat(beat),
        });
    }
    desk.hear(1, ForwardingOutcome::Succeeded);
    expect![[r#"
        1 across as 1 to 77, 1495 ms left
        2 across as 2 to 77, 1495 ms left
        answer to 1: NotAccepted, 0 bytes
        1 voided
        2 here, 1495 ms left
        Member { party: GatewayName { site: "launceston", gateway: "l0" }, standing: Serving, back: false, reborn: true }
    "#]]
    .assert_eq(&desk.trace);
}

#[test]
fn what_is_taken_in_runs_once_whatever_copies_come_and_late_ones_are_not_taken() {
    let mut desk = desk();
    desk.beats(1);
    desk.handover(1, "draft", desk.beat);
    desk.handover(1, "draft", desk.beat);
    let settled = |inward| Event::InboundCompleted {
        inward,
        verdict: ForwardingOutcome::Succeeded,
        build: Some(BuildId(4)),
        body: vec![0; 600],
    };
    desk.tell(settled(1));
    desk.handover(1, "draft", desk.beat);
    desk.trace += "- bodies beyond the told memory are let go, oldest first\n";
    desk.handover(2, "draft", desk.beat);
    desk.tell(settled(2));
    desk.handover(1, "draft", desk.beat);
    desk.trace += "- asked for before it came, and then too late to be taken\n";
    desk.tell(Event::MessageReceived {
        road: 1,
        letter: SiteMessage::StatusQuery {
            crossing: 3,
            from: 77,
            to: 5,
        },
    });
    desk.handover(3, "lodge", desk.beat);
    desk.trace += "- a payment sent long ago, by the beats heard since\n";
    desk.beats(12);
    desk.handover(4, "payment", desk.beat - 11);
    desk.handover(5, "payment", desk.beat);
    desk.handover(6, "no such product", desk.beat);
    expect![[r#"
        take in 1, 1000 ms left
        answer to 1: Succeeded, 600 bytes
        answer to 1: Succeeded, 600 bytes
        - bodies beyond the told memory are let go, oldest first
        take in 2, 1000 ms left
        answer to 2: Succeeded, 600 bytes
        answer to 1: Unknown, 0 bytes
        - asked for before it came, and then too late to be taken
        answer to 3: NotAccepted, 0 bytes
        answer to 3: NotAccepted, 0 bytes
        - a payment sent long ago, by the beats heard since
        answer to 4: NotAccepted, 0 bytes
        take in 3, 1000 ms left
        answer to 6: NotAccepted, 0 bytes
    "#]]
    .assert_eq(&desk.trace);
}

#[test]
fn a_peer_that_does_not_keep_to_its_credit_is_turned_away() {
    let mut desk = desk();
    desk.beats(1);
    for crossing in 1..=500 {
        desk.handover(crossing, "draft", desk.beat);
    }
    let tally = desk.sites.tally();
    assert!(tally.taken_in > 0 && tally.taken_in <= 12, "{tally:?}");
    assert_eq!(tally.taken_in + tally.turned_away, 500);
}

#[test]
fn endless_credit_does_not_send_more_than_the_window_that_answers_have_earned() {
    let mut desk = desk();
    desk.beats(1);
    let grants = vec![
        ("draft".to_string(), u16::MAX),
        ("no such product".to_string(), 9),
    ];
    let beat = Heartbeat {
        incarnation: 77,
        beat: desk.beat + 1,
        echo: desk.heard,
        grants,
        ..Heartbeat::default()
    };
    desk.tell(Event::MessageReceived {
        road: 1,
        letter: SiteMessage::Heartbeat(beat),
    });
    desk.trace.clear();
    for id in 0..1000 {
        desk.tell(Event::LocallyRejected {
            id: RequestId(id),
            class: ClassId(0),
            left: MS * 1400.0,
        });
    }
    let (across, declined) = (
        desk.trace.matches("across").count(),
        desk.trace.matches("declined").count(),
    );
    assert_eq!((across, declined), (16, 984));
    // Those that are refused make it smaller still, and the road rests.
    (1..=16).for_each(|crossing| desk.hear(crossing, ForwardingOutcome::NotAccepted));
    desk.trace.clear();
    desk.tell(Event::LocallyRejected {
        id: RequestId(2000),
        class: ClassId(0),
        left: MS * 1400.0,
    });
    assert_eq!(desk.trace, "2000 declined\n");
}

#[test]
fn a_site_that_vanishes_is_left_and_one_that_comes_and_goes_moves_traffic_a_bounded_number_of_times(
) {
    let mut desk = desk();
    let mut moves = Vec::new();
    // Ten minutes in which the site settles nothing for a second, and all for a second.
    for second in 0..600 {
        for _ in 0..10 {
            desk.beats(1);
            let ending = if second % 2 == 0 {
                RequestEnd::Failed
            } else {
                RequestEnd::Succeeded
            };
            for _ in 0..3 {
                desk.tell(Event::RequestEnded {
                    class: ClassId(0),
                    ending,
                    took: MS * 20.0,
                });
            }
        }
        let turned = desk.trace.matches("location: FailedOver").count()
            + desk.trace.matches("location: Returning").count();
        moves.push(turned);
    }
    let in_a_minute = moves.windows(61).map(|w| w[60] - w[0]).max().unwrap();
    assert!(
        in_a_minute <= 10 && moves[10] > 0,
        "{in_a_minute} moves in a minute, {} in all",
        moves[599]
    );
}
