//! Samples the gateways' processes while a soak runs, and how far the machine holds up the sampling itself.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::gateway_process::GatewayProcess;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// What was sampled.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Samples {
    /// The most descriptors that a gateway held.
    pub(super) descriptors_max: usize,
    /// The longest that the sampling was late.
    pub(super) longest_pause: Duration,
    /// The longest that a gateway waited for a processor between two samples.
    pub(super) longest_wait: Duration,
}

/// Samples on a thread of its own.
pub(super) struct Sampler {
    process_ids: Vec<Arc<AtomicUsize>>,
    is_over: Arc<AtomicBool>,
    thread: thread::JoinHandle<Samples>,
}

impl Sampler {
    pub(super) fn start(processes: &[GatewayProcess]) -> Sampler {
        let id_of = |process: &GatewayProcess| Arc::new(AtomicUsize::new(process.id() as usize));
        let process_ids: Vec<_> = processes.iter().map(id_of).collect();
        let is_over = Arc::new(AtomicBool::new(false));
        let (sampled, ends) = (process_ids.clone(), is_over.clone());
        Sampler {
            process_ids,
            is_over,
            thread: thread::spawn(move || sample(&sampled, &ends)),
        }
    }

    /// Where the id of a gateway's process stands.
    pub(super) fn slot(&self, gateway: usize) -> Arc<AtomicUsize> {
        self.process_ids[gateway].clone()
    }

    /// Ends, and returns what was sampled.
    pub(super) fn stop(self) -> Samples {
        self.is_over.store(true, Ordering::SeqCst);
        self.thread.join().unwrap_or_default()
    }
}

/// A gateway's process at a sample.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
struct WaitSample {
    process_id: usize,
    /// How long it has waited for a processor since its start.
    waited: Duration,
}

fn sample(process_ids: &[Arc<AtomicUsize>], ends: &AtomicBool) -> Samples {
    let mut samples = Samples::default();
    let mut last_waits = vec![WaitSample::default(); process_ids.len()];
    while !ends.load(Ordering::SeqCst) {
        for (slot, last) in process_ids.iter().zip(&mut last_waits) {
            let process_id = slot.load(Ordering::SeqCst);
            samples.descriptors_max = samples.descriptors_max.max(descriptor_count(process_id));
            let waited = processor_wait(&process_folder(process_id));
            if last.process_id == process_id {
                let wait = waited.saturating_sub(last.waited);
                samples.longest_wait = samples.longest_wait.max(wait);
            }
            *last = WaitSample { process_id, waited };
        }
        let slept_from = Instant::now();
        thread::sleep(SAMPLE_INTERVAL);
        let pause = slept_from.elapsed().saturating_sub(SAMPLE_INTERVAL);
        samples.longest_pause = samples.longest_pause.max(pause);
    }
    samples
}

fn process_folder(process_id: usize) -> PathBuf {
    PathBuf::from("/proc").join(process_id.to_string())
}

/// How many descriptors a process holds now.
fn descriptor_count(process_id: usize) -> usize {
    fs::read_dir(process_folder(process_id).join("fd")).map_or(0, Iterator::count)
}

/// How long the thread with this folder, or the one thread of the process, could run and had no processor since its start: the
/// second field of `schedstat`. Zero where the system says nothing.
pub(super) fn processor_wait(folder: &Path) -> Duration {
    let text = fs::read_to_string(folder.join("schedstat")).unwrap_or_default();
    let nanoseconds = text
        .split_whitespace()
        .nth(1)
        .and_then(|ns| ns.parse().ok());
    Duration::from_nanos(nanoseconds.unwrap_or(0))
}
