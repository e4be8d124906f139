//! Samples the gateways' processes during a soak, and measures by how much the machine delays the samples.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::gateway_process::GatewayProcess;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Maxima over all samples.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Samples {
    /// The most file descriptors that a gateway had open.
    pub(super) descriptors_max: usize,
    /// The longest time by which a sample was late.
    pub(super) longest_pause: Duration,
    /// The longest time that a gateway waited for a processor between two samples.
    pub(super) longest_wait: Duration,
}

/// Samples the gateways on a separate thread.
pub(super) struct Sampler {
    process_ids: Vec<Arc<AtomicUsize>>,
    stop_requested: Arc<AtomicBool>,
    thread: thread::JoinHandle<Samples>,
}

impl Sampler {
    pub(super) fn start(processes: &[GatewayProcess]) -> Sampler {
        let shared_id =
            |process: &GatewayProcess| Arc::new(AtomicUsize::new(process.id() as usize));
        let process_ids: Vec<_> = processes.iter().map(shared_id).collect();
        let stop_requested = Arc::new(AtomicBool::new(false));
        let (sampled_ids, stop) = (process_ids.clone(), stop_requested.clone());
        Sampler {
            process_ids,
            stop_requested,
            thread: thread::spawn(move || sample_until(&sampled_ids, &stop)),
        }
    }

    /// The shared process id of a gateway, to be updated after a restart.
    pub(super) fn process_id_slot(&self, gateway: usize) -> Arc<AtomicUsize> {
        self.process_ids[gateway].clone()
    }

    /// Stops sampling and returns the maxima.
    pub(super) fn stop(self) -> Samples {
        self.stop_requested.store(true, Ordering::SeqCst);
        self.thread.join().unwrap_or_default()
    }
}

/// The processor wait of a gateway's process at one sample.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
struct WaitSample {
    process_id: usize,
    /// Total wait for a processor since the process started.
    waited: Duration,
}

fn sample_until(process_ids: &[Arc<AtomicUsize>], stop: &AtomicBool) -> Samples {
    let mut samples = Samples::default();
    let mut last_waits = vec![WaitSample::default(); process_ids.len()];
    while !stop.load(Ordering::SeqCst) {
        for (slot, last) in process_ids.iter().zip(&mut last_waits) {
            let process_id = slot.load(Ordering::SeqCst);
            samples.descriptors_max = samples.descriptors_max.max(count_descriptors(process_id));
            let waited = read_processor_wait(&process_folder(process_id));
            if last.process_id == process_id {
                let wait = waited.saturating_sub(last.waited);
                samples.longest_wait = samples.longest_wait.max(wait);
            }
            *last = WaitSample { process_id, waited };
        }
        let sleep_started_at = Instant::now();
        thread::sleep(SAMPLE_INTERVAL);
        let pause = sleep_started_at.elapsed().saturating_sub(SAMPLE_INTERVAL);
        samples.longest_pause = samples.longest_pause.max(pause);
    }
    samples
}

fn process_folder(process_id: usize) -> PathBuf {
    PathBuf::from("/proc").join(process_id.to_string())
}

/// Counts the open file descriptors of a process.
fn count_descriptors(process_id: usize) -> usize {
    fs::read_dir(process_folder(process_id).join("fd")).map_or(0, Iterator::count)
}

/// Total time that a thread was runnable and waited for a processor: the second field of `schedstat`. The folder is the
/// `/proc` folder of the thread, or of a process with one thread. Zero if `schedstat` can't be read.
pub(super) fn read_processor_wait(folder: &Path) -> Duration {
    let text = fs::read_to_string(folder.join("schedstat")).unwrap_or_default();
    let nanoseconds = text
        .split_whitespace()
        .nth(1)
        .and_then(|ns| ns.parse().ok());
    Duration::from_nanos(nanoseconds.unwrap_or(0))
}
