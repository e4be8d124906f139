//! Several processes of the program that share a duty: killed, stalled, cut off, ended in order, of two forms. Each
//! verdict is about the rules, by what the installation saw; waits are for events, and bounded.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

use harrierdock_fault_injection::fleet::installation::Seen;
use harrierdock_fault_injection::fleet::process_group::{ShutdownPurpose, StartOverrides};
use harrierdock_fault_injection::fleet::{Day, Stage};
use harrierdock_fault_injection::stand_ins::BOUND;
use harrierdock_types::TimeDelta;
use rustix::process::Signal;
use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};

struct Fleet {
    stage: Stage,
    folder: PathBuf,
}

impl Fleet {
    fn new(name: &str, day: Day) -> Fleet {
        let folder = format!(
            "{}/fleet-{name}-{}",
            env!("CARGO_TARGET_TMPDIR"),
            std::process::id()
        );
        fs::create_dir_all(&folder).unwrap();
        let folder = PathBuf::from(folder);
        let stage = Stage::new(&day, env!("CARGO_BIN_EXE_harrierdock").into(), &folder).unwrap();
        Fleet { stage, folder }
    }

    fn start(name: &str) -> Fleet {
        let mut fleet = Fleet::new(
            name,
            Day {
                rate: 20.0,
                servers: 2,
                ..Day::default()
            },
        );
        fleet.stage.start().unwrap();
        fleet
    }

    /// Plays on until this holds.
    fn until(&mut self, what: &str, mut holds: impl FnMut(&Stage) -> bool) {
        let from = Instant::now();
        while !holds(&self.stage) {
            let lines = || -> Vec<&String> {
                let gateways = self.stage.group.gateways.iter();
                gateways
                    .filter_map(|g| g.process.as_ref())
                    .flat_map(|p| p.lease_log.iter().rev().take(4))
                    .collect()
            };
            assert!(
                from.elapsed() < BOUND,
                "not in time: {what}: {:#?}",
                lines()
            );
            let soon = self.stage.simulation.now();
            self.stage.turn(soon + TimeDelta(20_000)).unwrap();
        }
    }

    fn advanced(stage: &Stage) -> u64 {
        stage.group.installation.judged().advanced
    }

    fn until_more_waves(&mut self, more: u64) {
        let wanted = Fleet::advanced(&self.stage) + more;
        self.until("more waves", |stage| Fleet::advanced(stage) >= wanted);
    }

    /// The holder, once its calls have been seen.
    fn holder(&mut self) -> usize {
        self.until_more_waves(2);
        self.until("a holder", |stage| stage.group.holder("steward").is_some());
        self.stage.group.holder("steward").unwrap()
    }

    fn last_epoch(&self) -> u64 {
        self.stage
            .group
            .installation
            .calls()
            .last()
            .map_or(0, |c| c.epoch)
    }

    /// Waits for a wave advanced by another one than this.
    fn until_another_advances(&mut self, than: usize) {
        let (name, epoch) = (
            self.stage.group.gateways[than].name.clone(),
            self.last_epoch(),
        );
        self.until("another steward", |stage| {
            let calls = stage.group.installation.calls();
            calls
                .iter()
                .any(|c| c.gateway != name && c.epoch > epoch && c.seen == Seen::Advanced)
        });
    }

    /// What must hold at the end of each.
    fn judge(mut self) {
        let Stage {
            simulation, group, ..
        } = &mut self.stage;
        simulation.sends_requests = false;
        group.shut_down_all(simulation).unwrap();
        let seen = group.installation.judged();
        let wrong = (seen.two_holders, seen.epochs_back, seen.double, seen.votes);
        assert_eq!(
            wrong,
            (0, 0, 0, 0),
            "two holders, epochs back, doubled, votes: {seen:?}"
        );
        assert_eq!(
            (group.logged_violations, group.crashes),
            (0, 0),
            "broken lines, crashes"
        );
        let _ = fs::remove_dir_all(&self.folder);
    }
}

#[test]
fn a_killed_lease_holder_is_succeeded_under_a_later_epoch() {
    let mut fleet = Fleet::start("kill");
    let holder = fleet.holder();
    let Stage {
        simulation, group, ..
    } = &mut fleet.stage;
    group.kill(simulation, holder);
    fleet.until_another_advances(holder);
    // Back again, it holds under no epoch of before.
    let Stage {
        simulation, group, ..
    } = &mut fleet.stage;
    group.start(simulation, holder).unwrap();
    fleet.until_more_waves(3);
    fleet.judge();
}

#[test]
fn epochs_never_decrease_when_all_gateways_are_killed_and_restarted() {
    let mut fleet = Fleet::start("all");
    fleet.holder();
    let epoch = fleet.last_epoch();
    let Stage {
        simulation, group, ..
    } = &mut fleet.stage;
    (0..5).for_each(|ix| group.kill(simulation, ix));
    (0..5).for_each(|ix| group.start(simulation, ix).unwrap());
    fleet.until_more_waves(3);
    assert!(
        fleet.last_epoch() > epoch,
        "{} after {epoch}",
        fleet.last_epoch()
    );
    fleet.judge();
}

/// A door in front of the installation that can be kept shut: a connection begun meanwhile waits.
struct Shut {
    listener: TcpListener,
    held: Vec<TcpStream>,
    address: SocketAddr,
}

impl Shut {
    fn new() -> Shut {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        // One that nobody takes fills what a listener keeps.
        Shut {
            listener,
            held: vec![TcpStream::connect(address).unwrap()],
            address,
        }
    }

    /// Whether a connection of this process waits outside: sent, and not acknowledged.
    fn is_waited_at_by(&self, process: u32) -> bool {
        let waits = format!(":{:04X} 02 ", self.address.port());
        let connections = fs::read_to_string("/proc/net/tcp").unwrap();
        let waiting = connections.lines().filter(|l| l.contains(&waits));
        let sockets: Vec<String> = waiting
            .filter_map(|l| {
                l.split_whitespace()
                    .nth(9)
                    .map(|inode| format!("socket:[{inode}]"))
            })
            .collect();
        let held = fs::read_dir(format!("/proc/{process}/fd"))
            .unwrap()
            .map_while(Result::ok);
        held.filter_map(|entry| fs::read_link(entry.path()).ok())
            .any(|link| sockets.iter().any(|s| link.as_os_str() == s.as_str()))
    }

    /// Lets all in from here on, on to the installation.
    fn open(self, to: SocketAddr) {
        thread::spawn(move || {
            drop(self.held);
            for near in self.listener.incoming().map_while(Result::ok) {
                let far = TcpStream::connect(to).unwrap();
                let pass = |mut from: TcpStream, mut to: TcpStream| {
                    let mut bytes = [0; 4096];
                    while let Ok(size @ 1..) = from.read(&mut bytes) {
                        if to.write_all(&bytes[..size]).is_err() {
                            break;
                        }
                    }
                    let _ = to.shutdown(std::net::Shutdown::Write);
                };
                let (near_too, far_too) = (near.try_clone().unwrap(), far.try_clone().unwrap());
                thread::spawn(move || pass(near, far));
                thread::spawn(move || pass(far_too, near_too));
            }
        });
    }
}

/// The call is begun in good time, its bytes would go out past the lease: the check is made in between. It fails
/// where the lease is not asked in the moment before.
#[test]
fn a_holder_that_stalls_before_writing_drops_its_command() {
    let day = Day {
        rate: 20.0,
        servers: 2,
        pause_ms: 3_600_000,
        ..Day::default()
    };
    let mut fleet = Fleet::new("stall", day);
    let door = Shut::new();
    let installation = fleet.stage.group.installation.address;
    fleet.stage.group.rollout_address = door.address;
    fleet.stage.start().unwrap();
    // It tries again after each call that had no answer: it is stopped while one waits.
    let holder = loop {
        fleet.until("a holder", |stage| stage.group.holder("steward").is_some());
        let holder = fleet.stage.group.holder("steward").unwrap();
        let Stage {
            simulation, group, ..
        } = &mut fleet.stage;
        let process = group.gateways[holder].process.as_ref().unwrap().id();
        // Cut off as well, so that no message tells it on waking that its lease is over.
        group.cut_off(&[holder], true, true);
        thread::sleep(Duration::from_millis(5));
        group.stall(simulation, holder);
        if door.is_waited_at_by(process) {
            break holder;
        }
        group.resume(simulation, holder);
        group.relay.change(|now| now.cut.clear());
        let soon = simulation.now() + TimeDelta::from_seconds(0.02);
        fleet.until("a moment", |stage| stage.simulation.now() >= soon);
    };
    door.open(installation);
    fleet.until_another_advances(holder);
    // Its connection has come up long since.
    thread::sleep(Duration::from_millis(1200));
    let Stage {
        simulation, group, ..
    } = &mut fleet.stage;
    group.resume(simulation, holder);
    // What it has written by then reaches the installation before all have ended.
    fleet.until("it knows", |stage| {
        stage.group.logged(holder, "steward ended, epoch")
    });
    fleet.judge();
}

#[test]
fn a_holder_partitioned_one_way_gives_up_its_lease() {
    for heard in [true, false] {
        let mut fleet = Fleet::start(if heard { "deaf" } else { "mute" });
        let holder = fleet.holder();
        fleet.stage.group.cut_off(&[holder], heard, !heard);
        fleet.until_another_advances(holder);
        fleet.until("it knows", |stage| {
            stage.group.logged(holder, "steward ended")
        });
        fleet.stage.group.relay.change(|now| now.cut.clear());
        fleet.until_more_waves(3);
        fleet.judge();
    }
}

/// Unix time of a gateway's last line with this in it.
fn said_at(stage: &Stage, ix: usize, part: &str) -> f64 {
    let gateway = &stage.group.gateways[ix];
    let lines = gateway
        .lease_log_of_ended
        .iter()
        .chain(gateway.process.iter().flat_map(|p| &p.lease_log));
    let last = lines.rev().find(|line| line.contains(part)).unwrap();
    last.split(' ').next().unwrap().parse().unwrap()
}

/// That it is handed on is the rule; that nobody waits for a lease to lapse is told by the best of three, for the machine
/// may be busy.
#[test]
fn a_holder_that_shuts_down_transfers_its_lease() {
    let mut fleet = Fleet::start("order");
    let mut gaps = Vec::new();
    for _ in 0..3 {
        let holder = fleet.holder();
        let Stage {
            simulation, group, ..
        } = &mut fleet.stage;
        group.shut_down(simulation, holder, ShutdownPurpose::End);
        fleet.until("another holds", |stage| {
            stage.group.holder("steward").is_some_and(|h| h != holder)
        });
        let next = fleet.stage.group.holder("steward").unwrap();
        fleet.until("it has ended", |stage| {
            stage.group.gateways[holder].process.is_none()
        });
        let ended = said_at(&fleet.stage, holder, "steward ended, epoch");
        assert!(
            ended <= said_at(&fleet.stage, holder, ": handed on"),
            "handed on, not lapsed"
        );
        gaps.push(said_at(&fleet.stage, next, "holds steward") - ended);
        let Stage {
            simulation, group, ..
        } = &mut fleet.stage;
        group.start(simulation, holder).unwrap();
    }
    let lease = f64::from(fleet.stage.group.day.lease_ms) / 1000.0;
    assert!(
        gaps.iter().any(|gap| *gap < lease),
        "seconds until another held it: {gaps:?}"
    );
    fleet.judge();
}

#[test]
fn gateways_of_another_message_version_are_refused_and_hold_no_lease_without_a_quorum() {
    let mut fleet = Fleet::new(
        "mixed",
        Day {
            rate: 20.0,
            servers: 2,
            ..Day::default()
        },
    );
    let other = StartOverrides {
        uses_other_wire_format: true,
        ..StartOverrides::default()
    };
    [0, 1]
        .into_iter()
        .for_each(|ix| fleet.stage.group.gateways[ix].overrides = other);
    fleet.stage.start().unwrap();
    fleet.until_more_waves(5);
    fleet.until("refusals", |stage| {
        (0..5).all(|ix| stage.group.logged(ix, "messages refused lately"))
    });
    for ix in [0, 1] {
        assert!(
            !fleet.stage.group.logged(ix, "fleet: holds"),
            "g{ix} holds with two of five"
        );
    }
    fleet.judge();
}

#[test]
fn a_bad_file_at_a_reload_changes_nothing_and_the_next_electorate_is_applied() {
    let mut fleet = Fleet::start("reload");
    fleet.holder();
    let mut with = fleet.stage.group.extension_configuration(0);
    let reload = |fleet: &Fleet, ix: usize, with: &Value| {
        let path = fleet.folder.join(format!("g{ix}-sites.json"));
        fs::write(&path, with.to_string()).unwrap();
        fleet.stage.group.gateways[ix]
            .process
            .as_ref()
            .unwrap()
            .signal(Signal::HUP);
    };
    with["fleet"]["electorate"] = json!(["g0", "g1"]);
    reload(&fleet, 0, &with);
    fleet.until("a line", |stage| {
        stage.group.logged(0, "fleet.electorate: 2 electors")
    });
    fleet.until_more_waves(2);
    with["fleet"]["electorate"] = json!(["g0", "g1", "g2", "g3"]);
    with["fleet"]["electorate_number"] = json!(2);
    // One that has not yet heard that the first is in force says so, and is told again.
    let begun = |stage: &Stage, ix: usize| stage.group.logged(ix, "electorate 2 begins");
    for _ in 0..BOUND.as_secs() {
        let left: Vec<usize> = (0..5).filter(|ix| !begun(&fleet.stage, *ix)).collect();
        left.iter().for_each(|ix| reload(&fleet, *ix, &with));
        let until = fleet.stage.simulation.now()
            + TimeDelta::from_seconds(if left.is_empty() { 0.0 } else { 1.0 });
        fleet.until("time", |stage| stage.simulation.now() >= until);
    }
    assert!((0..5).all(|ix| begun(&fleet.stage, ix)));
    fleet.until_more_waves(3);
    fleet.judge();
}
