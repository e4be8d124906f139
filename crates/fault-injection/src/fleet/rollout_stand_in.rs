//! The stand-in for the deployment controller, which the lease holder commands, and for the rollout platform's event stream.
//! It announces the stages of a build. It promotes or rolls back each stage once, for the holder of the latest epoch only. The
//! rules are checked against the commands that it received.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde::Deserialize;
use serde_json::json;

use crate::stand_ins::{serve_requests, ReceivedRequest};

/// Number of rollout stages of a build. In the first stage, only a part of the endpoints runs the canary.
pub const STAGES: usize = 3;
/// The first build that is rolled out. The endpoints keep running the build before it.
pub const FIRST_CANARY_BUILD: u32 = 42;
/// The path of the deployment controller's API.
pub const CONTROLLER_PATH: &str = "/waves";
/// How often the stand-in checks whether to announce the next stage.
const TICK: Duration = Duration::from_millis(10);

/// A command to the deployment controller, by its names on the wire.
#[derive(Deserialize)]
struct MoveCommand {
    #[serde(rename = "image")]
    build: u32,
    #[serde(rename = "ring")]
    stage: usize,
    /// `on` to promote the stage; anything else rolls it back.
    #[serde(rename = "way")]
    direction: String,
    epoch: u64,
    gateway: String,
    #[serde(rename = "start")]
    incarnation: u64,
    /// Whether the gateway repeats the command because it received no answer to it.
    #[serde(rename = "again")]
    is_retry: bool,
}

/// How the deployment controller answered a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    Advanced,
    /// Refused: its epoch is older than the latest one received.
    StaleEpoch,
    /// Refused: the stage was moved before.
    Repeated,
    /// Refused: this stage is not on trial.
    UnknownStage,
}

/// A command that the deployment controller received.
#[derive(Clone, Debug)]
pub struct ReceivedCommand {
    pub at: Instant,
    pub gateway: String,
    pub epoch: u64,
    pub outcome: CommandOutcome,
}

/// Counts of stage moves and of violated rules.
#[derive(Clone, Debug, Default)]
pub struct ControllerObservations {
    pub stages_advanced: u64,
    /// Commands under an epoch that another gateway, or another incarnation of the same gateway, used before.
    pub two_holders: u64,
    /// Commands under an epoch older than the latest one received.
    pub epochs_back: u64,
    /// Commands for a stage that was already moved under the same epoch, unless marked as retries.
    pub repeated_commands: u64,
    /// Votes sent to the rollout platform, though the lease holder applies them.
    pub platform_votes: u64,
    /// The longest time between two consecutive stage moves.
    pub longest_pause: Duration,
}

struct State {
    build: u32,
    stage: usize,
    /// Progress of the stage, as announced on the wire. A moved stage stays `trial` until the next stage is announced.
    progress: &'static str,
    /// Whether the last move promoted its stage.
    is_promoted: bool,
    /// When the next stage is announced; `None` until the current one is moved.
    next_stage_at: Option<Instant>,
    announcements_paused: bool,
    /// Time from the move of a stage to the announcement of the next stage.
    stage_pause: Duration,
    latest_epoch: u64,
    /// The gateway and incarnation that first used each epoch.
    holders: BTreeMap<u64, (String, u64)>,
    /// The epoch and incarnation that moved each stage of each build.
    moved_by: BTreeMap<(u32, usize), (u64, u64)>,
    commands: Vec<ReceivedCommand>,
    observations: ControllerObservations,
    streams: Vec<Sender<String>>,
    is_stopped: bool,
}

impl State {
    /// The current stage as a line of the rollout platform's stream.
    fn stage_line(&self) -> String {
        let news = json!({"image": self.build, "ring": self.stage, "progress": self.progress,
            "ceiling": 1.0, "lag_ms": 60_000});
        json!({"type": "news", "object": news}).to_string()
    }

    /// Sends the current stage to all open streams.
    fn announce_stage(&mut self) {
        let line = self.stage_line();
        self.streams
            .retain(|stream| stream.send(line.clone()).is_ok());
    }

    fn apply_command(&mut self, command: &MoveCommand) -> CommandOutcome {
        let sender = (command.gateway.clone(), command.incarnation);
        let holder = self
            .holders
            .entry(command.epoch)
            .or_insert_with(|| sender.clone());
        self.observations.two_holders += u64::from(*holder != sender);
        if command.epoch < self.latest_epoch {
            self.observations.epochs_back += 1;
            return CommandOutcome::StaleEpoch;
        }
        self.latest_epoch = command.epoch;
        let stage = (command.build, command.stage);
        if let Some((epoch, _)) = self.moved_by.get(&stage) {
            // A holder may repeat a command only if it received no answer. A later holder can't know of the move.
            let is_repeated = *epoch == command.epoch && !command.is_retry;
            self.observations.repeated_commands += u64::from(is_repeated);
            return CommandOutcome::Repeated;
        }
        let is_on_trial = stage == (self.build, self.stage)
            && self.progress == "trial"
            && self.next_stage_at.is_none();
        if !is_on_trial {
            return CommandOutcome::UnknownStage;
        }
        self.moved_by
            .insert(stage, (command.epoch, command.incarnation));
        self.observations.stages_advanced += 1;
        self.is_promoted = command.direction == "on";
        self.next_stage_at = Some(Instant::now() + self.stage_pause);
        CommandOutcome::Advanced
    }

    /// Announces the next stage, or the next build after the last stage or a rollback.
    fn start_next_stage(&mut self) {
        let is_last = self.stage + 1 >= STAGES || !self.is_promoted;
        if is_last {
            self.progress = if self.is_promoted {
                "released"
            } else {
                "withdrawn"
            };
            self.announce_stage();
            (self.build, self.stage) = (self.build + 1, 0);
        } else {
            self.stage += 1;
        }
        (self.progress, self.next_stage_at) = ("trial", None);
        self.announce_stage();
    }
}

/// A running stand-in; it stops when dropped.
pub struct RolloutStandIn {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Answers one request; returns whether the answer was written.
fn answer(state: &Mutex<State>, request: &mut ReceivedRequest) -> bool {
    if request.head.starts_with("GET /apis/fleet/events") {
        let (line_sender, lines) = channel();
        let mut state = lock(state);
        let _ = line_sender.send(if state.announcements_paused {
            "{}".into()
        } else {
            state.stage_line()
        });
        state.streams.push(line_sender);
        drop(state);
        return request.stream_lines(&Mutex::new(lines), Some("{}"));
    }
    if request.head.starts_with("POST /apis/fleet/votes") {
        lock(state).observations.platform_votes += 1;
        return request.respond("409 No", "");
    }
    let body = request
        .head
        .starts_with(&format!("POST {CONTROLLER_PATH} "))
        .then(|| request.body.clone());
    let command = body.and_then(|body| serde_json::from_str::<MoveCommand>(&body).ok());
    let Some(command) = command else {
        return request.respond("400 No", "");
    };
    let mut state = lock(state);
    let outcome = state.apply_command(&command);
    let (at, gateway, epoch) = (Instant::now(), command.gateway, command.epoch);
    state.commands.push(ReceivedCommand {
        at,
        gateway,
        epoch,
        outcome,
    });
    let latest = json!({"epoch": state.latest_epoch, "done": outcome == CommandOutcome::Repeated})
        .to_string();
    drop(state);
    request.respond(
        if outcome == CommandOutcome::Advanced {
            "200 OK"
        } else {
            "409 No"
        },
        &latest,
    )
}

impl RolloutStandIn {
    /// Starts the stand-in. It announces each next stage `stage_pause` after the previous stage was moved.
    pub fn start(stage_pause: Duration) -> RolloutStandIn {
        let state = Arc::new(Mutex::new(State {
            build: FIRST_CANARY_BUILD,
            stage: 0,
            progress: "trial",
            is_promoted: true,
            next_stage_at: None,
            announcements_paused: false,
            stage_pause,
            latest_epoch: 0,
            holders: BTreeMap::new(),
            moved_by: BTreeMap::new(),
            commands: Vec::new(),
            observations: ControllerObservations::default(),
            streams: Vec::new(),
            is_stopped: false,
        }));
        let server_state = state.clone();
        let address = serve_requests(move |request| answer(&server_state, request));
        let ticker_state = state.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(TICK);
            let mut state = lock(&ticker_state);
            if state.is_stopped {
                return;
            }
            let is_due = state.next_stage_at.is_some_and(|at| at <= Instant::now());
            if !state.announcements_paused && is_due {
                state.start_next_stage();
            }
        });
        RolloutStandIn { address, state }
    }

    /// Pauses or resumes the announcement of new stages.
    pub fn set_announcements_paused(&self, paused: bool) {
        lock(&self.state).announcements_paused = paused;
    }

    /// Sends the current stage again to all open streams.
    pub fn announce_stage(&self) {
        lock(&self.state).announce_stage();
    }

    /// All commands so far, the oldest first.
    pub fn commands(&self) -> Vec<ReceivedCommand> {
        lock(&self.state).commands.clone()
    }

    /// The counts so far, with `longest_pause` computed from the commands.
    pub fn observations(&self) -> ControllerObservations {
        let state = lock(&self.state);
        let mut observations = state.observations.clone();
        let moves: Vec<Instant> = state
            .commands
            .iter()
            .filter(|command| command.outcome == CommandOutcome::Advanced)
            .map(|command| command.at)
            .collect();
        observations.longest_pause = moves
            .windows(2)
            .map(|pair| pair[1] - pair[0])
            .max()
            .unwrap_or_default();
        observations
    }
}

impl Drop for RolloutStandIn {
    fn drop(&mut self) {
        lock(&self.state).is_stopped = true;
    }
}
