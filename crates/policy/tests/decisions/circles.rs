//! Many gateways: what a circle tells its speaker and hears from it.

use expect_test::expect;
use harrierdock_types::gossip;
use harrierdock_types::*;

use crate::desk::*;

/// Fates of a circle's members as its speaker hears them: those of endpoint 4, on trial, are good or not.
fn hear(desk: &mut Desk, from: usize, good: bool) {
    let event = |endpoint, good| OutcomeReport {
        gossip_id: GossipId(endpoint),
        build: BuildId(if endpoint == 4 { 2 } else { 1 }),
        class: ASK,
        event: ReportedEvent::Attempt(if good {
            AttemptOutcome::Succeeded
        } else {
            AttemptOutcome::ServerError
        }),
        latency_ratio: 0.2,
    };
    let fates = vec![
        event(0, true),
        event(1, true),
        event(2, true),
        event(4, good),
    ];
    desk.mail(
        from,
        &gossip::encode(&GossipMessage::OutcomeReports {
            received: 4,
            first_tries: 4,
            in_flight: 0,
            reports: fates,
        }),
    );
}

fn one_of(gateway_count: usize, local_peer: usize) -> Desk {
    let mut told = parameters();
    (told.gateway_count, told.local_peer) = (gateway_count, PeerId(local_peer));
    Desk::with(told, &[1, 1, 1, 1, 2], RolloutPhase::Canary)
}

#[test]
fn a_quiet_gateway_tells_its_speaker_and_a_speaker_judges_for_its_circle() {
    let mut quiet = one_of(400, 21);
    quiet.traffic(2, 900, |_| (AttemptOutcome::Succeeded, 125));
    quiet.until(2500);
    let mut lines = quiet.decisions();
    for (case, good) in [("all failed", false), ("all served", true)] {
        let mut speaker = one_of(400, 5);
        for n in 0..40 {
            hear(&mut speaker, 13 + 8 * n, good);
        }
        speaker.until(60);
        lines += &format!(
            "{case}: {}",
            speaker
                .decisions()
                .lines()
                .next()
                .unwrap_or("nothing to tell")
        );
        lines.push('\n');
    }
    expect![[r#"
        1050: tell 5 1.1.0:0004WO
        1950: tell 5 1.1.0:00C4WO
        all failed: 50: tell 2.0.420.t
        all served: nothing to tell
    "#]]
    .assert_eq(&lines);
}

#[test]
fn connections_that_were_not_made_are_not_held_against_the_build() {
    let mut lines = String::new();
    for fails in [AttemptOutcome::ConnectFailed, AttemptOutcome::ServerError] {
        let mut told = parameters();
        told.rollout.exposure_allowance = 1000.0;
        let mut desk = Desk::with(told, &[1, 1, 1, 1, 2, 2, 2, 2], RolloutPhase::Canary);
        let tried = std::cell::Cell::new(0);
        desk.traffic(300, 10, |s| {
            tried.set(tried.get() + usize::from(s > 3));
            if s > 3 && tried.get() % 3 == 1 {
                (fails, 250)
            } else {
                (AttemptOutcome::Succeeded, 50)
            }
        });
        let back = desk.decisions().contains("vote RollBack");
        lines += &format!(
            "{fails:?} once in three: {}\n",
            if back { "back" } else { "spared" }
        );
    }
    expect![[r#"
        ConnectFailed once in three: spared
        ServerError once in three: back
    "#]]
    .assert_eq(&lines);
}

#[test]
fn a_product_that_waits_at_every_server_is_not_held_against_the_build() {
    let mut lines = String::new();
    for (case, late) in [("one product", 1), ("all products", 3)] {
        let mut told = parameters();
        (told.gateway_count, told.local_peer) = (400, PeerId(5));
        let mut desk = Desk::with(told, &[1, 1, 1, 1, 1], RolloutPhase::Released);
        let hear = |desk: &mut Desk, late: usize| {
            let event = ReportedEvent::Attempt(AttemptOutcome::Succeeded);
            let lag = |class: usize| if class < late { 1.5 } else { 0.2 };
            let told = |class| OutcomeReport {
                gossip_id: GossipId(0),
                build: BuildId(1),
                class: ClassId(class),
                event,
                latency_ratio: lag(class),
            };
            let fates = [0, 1, 2].map(told).to_vec();
            desk.mail(
                13,
                &gossip::encode(&GossipMessage::OutcomeReports {
                    received: 3,
                    first_tries: 3,
                    in_flight: 0,
                    reports: fates,
                }),
            );
            desk.pass(40);
        };
        (0..300).for_each(|_| hear(&mut desk, 0));
        desk.tell(Event::EndpointsUpdated {
            kind: UpdateKind::Delta,
            endpoints: vec![endpoint(4, 2)],
        });
        desk.stage(2, 0, RolloutPhase::Canary, 1.0);
        (0..40).for_each(|_| hear(&mut desk, late));
        lines += &format!(
            "{case}: {}\n",
            desk.decisions().lines().next().unwrap_or("nothing")
        );
    }
    expect![[r#"
        one product: 2000: tell 13 /0
        all products: 2000: tell 13 /0
    "#]]
    .assert_eq(&lines);
}

#[test]
fn a_slow_server_is_told_to_the_circle_and_spared() {
    let mut speaker = one_of(24, 5);
    let told = |gossip_id, lag| OutcomeReport {
        gossip_id: GossipId(gossip_id),
        build: BuildId(1),
        class: ASK,
        event: ReportedEvent::Attempt(AttemptOutcome::Succeeded),
        latency_ratio: lag,
    };
    for _ in 0..40 {
        let fates = vec![told(0, 0.25), told(1, 0.9)];
        speaker.mail(
            13,
            &gossip::encode(&GossipMessage::OutcomeReports {
                received: 2,
                first_tries: 2,
                in_flight: 1,
                reports: fates,
            }),
        );
    }
    speaker.until(2000);
    let mut lines = speaker.decisions();
    let said = lines
        .lines()
        .next_back()
        .and_then(|l| l.split(' ').next_back())
        .unwrap_or("")
        .to_string();
    let mut told = parameters();
    (told.gateway_count, told.local_peer) = (24, PeerId(13));
    let mut member = Desk::with(told, &[1, 1], RolloutPhase::Released);
    for from in [4, 5] {
        member.mail(from, &said);
        let used = member.traffic(40, 50, |_| (AttemptOutcome::Succeeded, 125));
        lines += &format!("told by {from}: {}\n", share(&used, 1));
    }
    expect![[r#"
        2000: tell 13 /0006E
        2000: tell 21 /0006E
        told by 4: 19 of 40
        told by 5: 18 of 40
    "#]]
    .assert_eq(&lines);
}

#[test]
fn a_jam_is_told_and_a_part_of_txns_declined_at_once() {
    let mut speaker = one_of(24, 5);
    let told = |class| OutcomeReport {
        gossip_id: GossipId(0),
        build: BuildId(1),
        class: ClassId(class),
        event: ReportedEvent::Attempt(AttemptOutcome::Succeeded),
        latency_ratio: 1.2,
    };
    for _ in 0..80 {
        speaker.mail(
            13,
            &gossip::encode(&GossipMessage::OutcomeReports {
                received: 3,
                first_tries: 3,
                in_flight: 40,
                reports: [0, 1, 2].map(told).to_vec(),
            }),
        );
        speaker.pass(50);
    }
    let said = speaker
        .decisions()
        .lines()
        .rfind(|l| l.contains("tell 13"))
        .unwrap_or("")
        .to_string();
    let mut told = parameters();
    (told.gateway_count, told.local_peer) = (24, PeerId(13));
    let mut member = Desk::with(told, &[1, 1], RolloutPhase::Released);
    member.mail(5, said.split(' ').next_back().unwrap_or(""));
    member.request(ASK, None);
    let used = member.traffic(100, 20, |_| (AttemptOutcome::Succeeded, 125));
    let declined = member
        .decisions()
        .lines()
        .filter(|l| l.contains("decline"))
        .count();
    let lines = format!(
        "{said}\nof 101 txns {declined} declined, {} sent\n",
        used.len()
    );
    expect![[r#"
        3950: tell 13 /N002I
        of 101 txns 1 declined, 99 sent
    "#]]
    .assert_eq(&lines);
}

#[test]
fn a_speaker_that_has_just_begun_takes_no_want_of_answers_for_a_jam() {
    let mut told = parameters();
    (told.gateway_count, told.local_peer) = (24, PeerId(5));
    let mut speaker = Desk::with(told, &[1; 20], RolloutPhase::Released);
    let mut lines = String::new();
    speaker.until(10_000);
    // Nothing is answered: at first nothing can be, after an latency objective (500 ms) it is a jam.
    for when in ["first half second", "second"] {
        let before = speaker.decisions().matches("decline").count();
        (0..25).for_each(|_| {
            speaker.request(ASK, None);
            speaker.pass(20);
        });
        let declined = speaker.decisions().matches("decline").count() - before;
        lines += &format!("{when}: {declined} of 25 declined\n");
    }
    expect![[r#"
        first half second: 0 of 25 declined
        second: 21 of 25 declined
    "#]]
    .assert_eq(&lines);
}

#[test]
fn chance_drops_among_hundreds_do_not_add_up() {
    // Members that are no speakers drop nothing for others, however many; nor does one speaker alone.
    let mut desk = one_of(400, 5);
    for from in 8..400 {
        desk.mail(from, "2.0.1.t");
    }
    for _ in 0..9 {
        desk.mail(2, "2.0.99.t");
    }
    let mut lines = format!("392 members and a speaker: {:?}\n", desk.decisions());
    let mut desk = one_of(400, 21);
    for from in 0..8 {
        desk.mail(from, "2.0.3.t");
    }
    lines += &format!("all speakers at the cube of eta: {:?}\n", desk.decisions());
    desk.mail(3, "2.0.7.t");
    lines += &format!("and one at more: {}", desk.decisions());
    expect![[r#"
        392 members and a speaker: ""
        all speakers at the cube of eta: ""
        and one at more: 0: vote RollBack on 2 stage 0
    "#]]
    .assert_eq(&lines);
}

#[test]
fn messages_are_read_as_written_and_others_say_nothing() {
    let fates = [
        (ReportedEvent::Attempt(AttemptOutcome::Succeeded), 1.0),
        (ReportedEvent::Complaint, 0.01),
        (ReportedEvent::NotAttempted, 1.01),
    ];
    let told = |&(event, lag)| OutcomeReport {
        gossip_id: GossipId(0xbeef),
        build: BuildId(61),
        class: ClassId(2),
        event,
        latency_ratio: lag,
    };
    let text = gossip::encode(&GossipMessage::OutcomeReports {
        received: 3,
        first_tries: 3,
        in_flight: 40,
        reports: fates.iter().map(told).collect(),
    });
    let is_client_retry = gossip::decode(&text).map(|m| gossip::encode(&m)) == Some(text.clone());
    let late = |m| matches!(m, Some(GossipMessage::OutcomeReports { reports, .. }) if reports[0].latency_ratio <= 1.0 && reports[2].latency_ratio > 1.0);
    let odd = ["", "hi 7", "2.0.3", "2.0.3.x", "9:12", "x:", "2.0.-1.t"]
        .map(|t| gossip::decode(t).is_some());
    let lines = format!(
        "{text} again {is_client_retry}, late kept {}, odd read {odd:?}\n",
        late(gossip::decode(&text))
    );
    expect![[r#"
        3.3.40:lk_qWelk_qf0lk_qef again true, late kept true, odd read [false, false, false, false, false, false, false]
    "#]].assert_eq(&lines);
}

#[test]
fn a_gateway_that_no_other_can_tell_judges_alone() {
    let mut lines = String::new();
    for (case, trial) in [
        ("all failed", AttemptOutcome::ServerError),
        ("all served", AttemptOutcome::Succeeded),
    ] {
        let mut told = parameters();
        (
            told.gateway_count,
            told.limits.gossip_enabled,
            told.rollout.exposure_allowance,
        ) = (24, false, 1000.0);
        let mut desk = Desk::with(told, &[1, 1, 1, 1, 2, 2, 2, 2], RolloutPhase::Canary);
        desk.traffic(300, 10, |s| {
            (
                if s > 3 {
                    trial
                } else {
                    AttemptOutcome::Succeeded
                },
                50,
            )
        });
        lines += &format!(
            "{case}: {}\n",
            desk.decisions().lines().next().unwrap_or("no vote")
        );
    }
    expect![[r#"
        all failed: 450: vote RollBack on 2 stage 0
        all served: 3000: vote Promote on 2 stage 0
    "#]]
    .assert_eq(&lines);
}
