//! The exporting process of a gateway: meters finished attempts and requests, and passes their flows to all collectors and the file.

use std::path::Path;

use harrierdock_config::Names;
use harrierdock_flow_metering::{Flow, FlowMeter, FlowOutcome, FlowPath, Observation, RecordKind};
use harrierdock_types::{
    AttemptOutcome, BuildId, ClassId, EndpointId, RolloutUpdate, TimeDelta, Timestamp,
};
use nanorand::WyRand;

use crate::collector::{Collector, MAX_QUEUED_OCTETS};
use crate::export_context::{ExportClock, ExportContext};
use crate::file_writer::FlowFileWriter;
use crate::observed_totals::ObservedTotals;
use crate::rollout_share::ShareMeter;
use crate::templates::Templates;
use crate::{CollectorSettings, CollectorSummary, FlowExportError, FlowExportSettings};

/// Makes the exporter's random numbers differ from the random numbers of other parts of the gateway that use the same seed.
const SEED_SALT: u64 = 0xf10;
/// The latency objective of a class without one.
const DEFAULT_LATENCY_OBJECTIVE: TimeDelta = TimeDelta(1);

/// Parameters of a new exporter.
pub struct ExporterSetup<'a> {
    /// The `flows` settings of the extension file.
    pub settings: &'a FlowExportSettings,
    /// The folder that relative paths in the settings start at.
    pub folder: &'a Path,
    /// The latency objectives, indexed by `ClassId`.
    pub latency_objectives: Vec<TimeDelta>,
    /// The seed of the jitter between connection attempts.
    pub seed: u64,
}

/// A finished attempt.
#[derive(Clone, Copy, Debug)]
pub struct FinishedAttempt {
    /// The class of the attempt's request.
    pub class: ClassId,
    /// The endpoint's build; 0 if it has none.
    pub build: BuildId,
    /// The endpoint that the attempt was made at.
    pub endpoint: EndpointId,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// The time from start to end.
    pub duration: TimeDelta,
    /// Whether this was not the request's first attempt.
    pub is_retry: bool,
    /// Whether the request came from the other site.
    pub is_inbound: bool,
    /// Octets of the request body.
    pub request_octets: usize,
    /// Octets of the response body.
    pub response_octets: usize,
}

/// A finished request.
#[derive(Clone, Copy, Debug)]
pub struct FinishedRequest {
    /// The request's class.
    pub class: ClassId,
    /// How the request ended.
    pub outcome: FlowOutcome,
    /// Which sites the request went through.
    pub path: FlowPath,
    /// The time from start to end.
    pub duration: TimeDelta,
}

/// Totals of an exporter since its start.
#[derive(Clone, Debug)]
pub struct ExportSummary {
    /// Attempts and requests observed, by kind.
    pub observed: [u64; RecordKind::ALL.len()],
    /// The totals of each collector.
    pub collectors: Vec<CollectorSummary>,
}

/// Meters a gateway's attempts and requests, and exports their flows.
pub struct FlowExporter {
    meter: FlowMeter,
    shares: ShareMeter,
    totals: ObservedTotals,
    latency_objectives: Vec<TimeDelta>,
    active_timeout: TimeDelta,
    observation_domain: u32,
    templates: Templates,
    collectors: Vec<Collector>,
    file: Option<FlowFileWriter>,
    rng: WyRand,
    started: Timestamp,
}

impl FlowExporter {
    /// Opens the flow file, and prepares the connections to collectors.
    ///
    /// # Errors
    /// A key file or the flow file is unreadable or invalid.
    pub fn open(now: Timestamp, setup: ExporterSetup) -> Result<FlowExporter, FlowExportError> {
        let settings = setup.settings;
        let collectors = open_collectors(now, settings, setup.folder)?;
        let file = match &settings.file {
            Some(file) => Some(FlowFileWriter::open(
                now,
                setup.folder.join(&file.path),
                file,
                settings.observation_domain,
            )?),
            None => None,
        };
        tracing::info!(
            "flows: exporting to {} collectors with an active timeout of {} ms",
            settings.collectors.len(),
            settings.active_timeout_ms
        );
        Ok(FlowExporter {
            meter: FlowMeter::new(now, settings.active_timeout()),
            shares: ShareMeter::new(now),
            totals: ObservedTotals::default(),
            latency_objectives: setup.latency_objectives,
            active_timeout: settings.active_timeout(),
            observation_domain: settings.observation_domain,
            templates: Templates::new(),
            collectors,
            file,
            rng: WyRand::new_seed(setup.seed ^ SEED_SALT),
            started: now,
        })
    }

    /// Sets the newest rollout, which determines the stages and exposure limits in records. Ignores an update without a rollout
    /// state.
    pub fn set_rollout(&mut self, update: &RolloutUpdate) {
        self.shares.set_rollout(update);
    }

    /// Counts a received request.
    pub fn count_received_request(&mut self) {
        self.shares.count_received_request();
    }

    /// Counts a finished attempt.
    pub fn record_attempt(&mut self, now: Timestamp, attempt: &FinishedAttempt) {
        let build = attempt.build;
        self.shares.count_attempt(build);
        self.totals.count(RecordKind::Attempt, build, attempt.class);
        let observation = Observation {
            kind: RecordKind::Attempt,
            build,
            stage: self.shares.stage_of(build),
            class: flow_class(attempt.class),
            outcome: attempt_outcome(attempt.outcome),
            path: if attempt.is_inbound {
                FlowPath::Inbound
            } else {
                FlowPath::Local
            },
            endpoint: u32::try_from(attempt.endpoint.0).ok(),
            is_retry: attempt.is_retry,
            duration: attempt.duration,
            latency_objective: self.latency_objective(attempt.class),
            request_octets: attempt.request_octets as u64,
            response_octets: attempt.response_octets as u64,
        };
        self.meter.observe(now, &observation);
    }

    /// Counts a finished request.
    pub fn record_request(&mut self, now: Timestamp, request: &FinishedRequest) {
        self.totals
            .count(RecordKind::Request, BuildId(0), request.class);
        let observation = Observation {
            kind: RecordKind::Request,
            build: BuildId(0),
            stage: 0,
            class: flow_class(request.class),
            outcome: request.outcome,
            path: request.path,
            endpoint: None,
            is_retry: false,
            duration: request.duration,
            latency_objective: self.latency_objective(request.class),
            request_octets: 0,
            response_octets: 0,
        };
        self.meter.observe(now, &observation);
    }

    fn latency_objective(&self, class: ClassId) -> TimeDelta {
        self.latency_objectives
            .get(class.0)
            .copied()
            .unwrap_or(DEFAULT_LATENCY_OBJECTIVE)
    }

    /// Returns the attempts and requests observed as JSON: a list of rows of kind, build, request class and count.
    pub fn observed_totals_json(&self, names: &Names) -> String {
        self.totals.to_json(&names.classes)
    }

    /// Returns the next time at which flows may expire.
    pub fn next_export(&self) -> Timestamp {
        self.meter.next_expiry()
    }

    /// Exports the expired flows (at shutdown all flows), and drives all connections and the file.
    pub fn export(&mut self, now: Timestamp, names: &Names, is_shutting_down: bool) {
        let flows = if is_shutting_down {
            self.meter.take_all(now)
        } else {
            self.meter.take_expired(now)
        };
        for collector in &mut self.collectors {
            collector.queue_mut().add_flows(&flows);
        }
        if now - self.shares.interval_start() >= self.active_timeout || is_shutting_down {
            self.queue_shares(now);
        }
        self.send(now, names, &flows, is_shutting_down);
    }

    fn queue_shares(&mut self, now: Timestamp) {
        let shares = self.shares.take_shares(now);
        for collector in &mut self.collectors {
            collector.queue_mut().add_shares(&shares);
        }
        if let Some(file) = &mut self.file {
            file.queue_mut().add_shares(&shares);
        }
    }

    fn send(&mut self, now: Timestamp, names: &Names, flows: &[Flow], is_shutting_down: bool) {
        let context = ExportContext {
            clock: ExportClock::read(now, self.started),
            templates: &self.templates,
            names,
            observation_domain: self.observation_domain,
            observed: self.meter.observed(),
            ignored: self.meter.ignored().iter().sum(),
            is_shutting_down,
        };
        for collector in &mut self.collectors {
            collector.drive(&mut self.rng, &context);
        }
        if let Some(file) = &mut self.file {
            file.queue_mut().add_flows(flows);
            file.drive(|queue| queue.encode(&context, MAX_QUEUED_OCTETS));
        }
    }

    /// Replaces the collectors after the settings were reloaded. A collector whose name stays keeps its pending flows and counts. The
    /// flow file keeps its observation domain.
    ///
    /// # Errors
    /// The settings disable export, or a key file is unreadable or invalid. Nothing changes then.
    pub fn reload(
        &mut self,
        now: Timestamp,
        settings: Option<&FlowExportSettings>,
        folder: &Path,
    ) -> Result<(), FlowExportError> {
        let settings = settings.ok_or(FlowExportError::DisabledWhileRunning)?;
        let mut collectors = open_collectors(now, settings, folder)?;
        for collector in &mut collectors {
            let index = self
                .collectors
                .iter()
                .position(|earlier| earlier.name() == collector.name());
            if let Some(index) = index {
                collector.take_over(now, self.collectors.swap_remove(index));
            }
        }
        self.observation_domain = settings.observation_domain;
        let removed = std::mem::replace(&mut self.collectors, collectors);
        for mut collector in removed {
            collector.queue_mut().drop_all();
            let dropped = collector.summary().dropped.counts;
            tracing::warn!(
                "flows: collector {} removed; attempts and requests not exported to it: {dropped:?}",
                collector.name()
            );
        }
        Ok(())
    }

    /// Exports all flows, drops those that cannot be sent immediately, and waits until the file is written.
    pub fn close(&mut self, now: Timestamp, names: &Names) -> ExportSummary {
        self.export(now, names, true);
        for collector in &mut self.collectors {
            collector.queue_mut().drop_all();
        }
        if let Some(file) = self.file.take() {
            file.close();
        }
        ExportSummary {
            observed: self.meter.observed(),
            collectors: self.collectors.iter().map(Collector::summary).collect(),
        }
    }
}

fn open_collectors(
    now: Timestamp,
    settings: &FlowExportSettings,
    folder: &Path,
) -> Result<Vec<Collector>, FlowExportError> {
    let open = |collector: &CollectorSettings| {
        Collector::new(now, collector, folder, settings.observation_domain)
    };
    settings.collectors.iter().map(open).collect()
}

/// Returns the class in a flow key. Classes from 255 on share that number.
fn flow_class(class: ClassId) -> u8 {
    class.0.min(255) as u8
}

fn attempt_outcome(outcome: AttemptOutcome) -> FlowOutcome {
    match outcome {
        AttemptOutcome::Succeeded => FlowOutcome::Succeeded,
        AttemptOutcome::ServerError => FlowOutcome::ServerError,
        AttemptOutcome::Rejected => FlowOutcome::Rejected,
        AttemptOutcome::TimedOut => FlowOutcome::TimedOut,
        AttemptOutcome::ConnectFailed => FlowOutcome::ConnectFailed,
        AttemptOutcome::Reset => FlowOutcome::Reset,
        AttemptOutcome::Cancelled => FlowOutcome::Cancelled,
        AttemptOutcome::NotSent => FlowOutcome::NotSent,
    }
}
