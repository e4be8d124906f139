//! The built gateways of a test's fleet with their stand-ins, and the rules that each test asserts at its end.

use std::fs;
use std::path::PathBuf;
use std::time::Instant;

use harrierdock_fault_injection::fleet::rollout_stand_in::CommandOutcome;
use harrierdock_fault_injection::fleet::{FleetRun, Scenario};
use harrierdock_fault_injection::stand_ins::TEST_TIMEOUT;
use harrierdock_types::TimeDelta;

const POLL_INTERVAL: TimeDelta = TimeDelta(20_000);

/// A running fleet in a folder of its own; the folder is kept if the test fails.
pub struct Fleet {
    pub run: FleetRun,
    pub folder: PathBuf,
}

impl Fleet {
    /// Sets up a fleet whose gateways are not started.
    pub fn new(name: &str, scenario: Scenario) -> Fleet {
        let folder = format!(
            "{}/fleet-{name}-{}",
            env!("CARGO_TARGET_TMPDIR"),
            std::process::id()
        );
        fs::create_dir_all(&folder).unwrap();
        let folder = PathBuf::from(folder);
        let run =
            FleetRun::new(&scenario, env!("CARGO_BIN_EXE_harrierdock").into(), &folder).unwrap();
        Fleet { run, folder }
    }

    /// Starts a small fleet with few requests.
    pub fn start(name: &str) -> Fleet {
        let mut fleet = Fleet::new(
            name,
            Scenario {
                requests_per_second: 20.0,
                endpoints: 2,
                ..Scenario::default()
            },
        );
        fleet.run.start().unwrap();
        fleet
    }

    /// Runs the fleet until the condition is met; panics if it isn't within [`TEST_TIMEOUT`].
    pub fn run_until(&mut self, description: &str, mut is_met: impl FnMut(&FleetRun) -> bool) {
        let start = Instant::now();
        while !is_met(&self.run) {
            let last_log_lines = || -> Vec<&String> {
                let gateways = self.run.group.gateways.iter();
                gateways
                    .filter_map(|gateway| gateway.process.as_ref())
                    .flat_map(|process| process.lease_log.iter().rev().take(4))
                    .collect()
            };
            assert!(
                start.elapsed() < TEST_TIMEOUT,
                "timed out waiting for {description}; last log lines: {:#?}",
                last_log_lines()
            );
            let until = self.run.simulation.now() + POLL_INTERVAL;
            self.run.run_once(until).unwrap();
        }
    }

    fn advance_count(run: &FleetRun) -> u64 {
        run.group.rollout_stand_in.observations().stages_advanced
    }

    /// Waits until the deployment controller has accepted this many further moves of a rollout stage.
    pub fn wait_for_advances(&mut self, count: u64) {
        let expected = Fleet::advance_count(&self.run) + count;
        self.run_until("further stage moves", |run| {
            Fleet::advance_count(run) >= expected
        });
    }

    /// Waits until the deployment controller has accepted commands, and returns the lease holder.
    pub fn wait_for_holder(&mut self) -> usize {
        self.wait_for_advances(2);
        self.run_until("a lease holder", |run| {
            run.group.holder("steward").is_some()
        });
        self.run.group.holder("steward").unwrap()
    }

    /// The epoch of the last command; 0 if there was none.
    pub fn last_epoch(&self) -> u64 {
        self.run
            .group
            .rollout_stand_in
            .commands()
            .last()
            .map_or(0, |command| command.epoch)
    }

    /// Waits until another gateway has moved a rollout stage under a later epoch.
    pub fn wait_for_advance_by_another(&mut self, previous_holder: usize) {
        let (name, epoch) = (
            self.run.group.gateways[previous_holder].name.clone(),
            self.last_epoch(),
        );
        self.run_until("a stage move by another gateway", |run| {
            let commands = run.group.rollout_stand_in.commands();
            commands.iter().any(|command| {
                command.gateway != name
                    && command.epoch > epoch
                    && command.outcome == CommandOutcome::Advanced
            })
        });
    }

    /// Shuts all gateways down, and asserts the rules that hold in every test.
    pub fn assert_rules_held(mut self) {
        let FleetRun {
            simulation, group, ..
        } = &mut self.run;
        simulation.sends_requests = false;
        group.shut_down_all(simulation).unwrap();
        let observations = group.rollout_stand_in.observations();
        let violations = (
            observations.two_holders,
            observations.epochs_back,
            observations.repeated_commands,
            observations.platform_votes,
        );
        assert_eq!(
            violations,
            (0, 0, 0, 0),
            "two holders, decreasing epochs, repeated commands, votes at the platform: {observations:?}"
        );
        assert_eq!(
            (group.logged_violations, group.crashes),
            (0, 0),
            "logged violations, crashes"
        );
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// The Unix time in seconds of a gateway's last log line that contains `text`.
pub fn last_logged_at(run: &FleetRun, gateway: usize, text: &str) -> f64 {
    let gateway = &run.group.gateways[gateway];
    let lines = gateway
        .lease_log_of_exited
        .iter()
        .chain(gateway.process.iter().flat_map(|p| &p.lease_log));
    let last = lines.rev().find(|line| line.contains(text)).unwrap();
    last.split(' ').next().unwrap().parse().unwrap()
}
