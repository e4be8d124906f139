//! Log lines with the counters, and with the exporter's totals at shutdown.

use harrierdock_event_loop::{logging, RecentShortages};
use harrierdock_types::TimeDelta;

use crate::metrics::Counter;
use crate::runtime::buffer_use::BufferUse;
use crate::runtime::gateway::Gateway;
use crate::runtime::timer::Timer;

/// Interval at which the counters are logged: 10 s, in microseconds.
pub(super) const REPORT_INTERVAL: TimeDelta = TimeDelta(10_000_000);

impl Gateway {
    /// Logs the counters and schedules the next report.
    pub(super) fn report_and_reschedule(&mut self) {
        self.report();
        self.context.set_timer_after(REPORT_INTERVAL, Timer::Report);
    }

    /// Logs all counters and current gauges.
    pub(super) fn report(&mut self) {
        let context = &mut self.context;
        let counters = &mut context.counters;
        counters.set(Counter::DroppedLogLines, logging::dropped_lines());
        counters.set(Counter::PoolViolations, context.io.buffers.violations);
        counters.set(
            Counter::BufferShortages,
            context.io.buffer_shortages.count(),
        );
        counters.set(
            Counter::BufferWaits,
            context.io.buffer_shortages.wait_count(),
        );
        let evidence = self.dispatcher.policy.evidence_counts();
        counters.set(Counter::RequestsWithoutTime, evidence.requests_without_time);
        counters.set(Counter::AttemptsTimedOutEarly, evidence.early_timeouts);
        let streams = &context.io.streams;
        counters.set(Counter::StreamsOpened, streams.opened);
        counters.set(Counter::StreamsDisconnected, streams.disconnected);
        counters.set(Counter::StreamsMalformed, streams.malformed);
        counters.set(Counter::StreamsRefused, streams.refused);
        counters.set(Counter::StreamsUnresponsive, streams.unresponsive);
        counters.set(Counter::LinesTooLong, streams.too_long);
        if let Some(leases) = &self.leases {
            tracing::info!("counts: {}", leases.counts(context.io.now()));
        }
        tracing::info!(
            "counts: {} open={} open-peak={} open-to-clients={} open-to-endpoints={} lent={} owed={}",
            context.counters,
            context.io.descriptors.in_use(),
            context.io.descriptors.take_peak(),
            self.downstream.connection_count(),
            self.upstream.connection_count(),
            context.io.buffers.in_use(),
            self.dispatcher.requests.unanswered_count()
        );
        self.report_buffers();
    }

    /// Logs who holds the buffers, and the waits for one. Does nothing if none was lacking since the last report.
    fn report_buffers(&mut self) {
        let recent = self.context.buffer_shortages.take_recent();
        if recent == RecentShortages::default() {
            return;
        }
        let mut buffer_use = BufferUse::default();
        self.downstream.add_buffer_use(&mut buffer_use);
        self.upstream
            .add_buffer_use(self.context.now(), &mut buffer_use);
        let all = &self.context.buffer_shortages;
        tracing::warn!(
            "buffers: lacking {} times; {} waits have ended, in {:.3} s together, the longest lately in {:.3} s; {buffer_use}",
            recent.count,
            all.wait_count(),
            all.total_wait().as_seconds(),
            recent.longest_wait.as_seconds(),
        );
    }

    /// Closes the exporter and logs its totals: recorded, dropped and sent, by collector.
    pub(super) fn close_exporter(&mut self) {
        let now = self.context.now();
        let Some(mut exporter) = self.exporter.take() else {
            return;
        };
        let names = &self.dispatcher.names;
        tracing::info!("flows: tally {}", exporter.observed_totals_json(names));
        let summary = exporter.close(now, names);
        let recorded = summary.observed;
        for collector in summary.collectors {
            tracing::info!(
                "flows: to {}: recorded {recorded:?} dropped {:?} in-doubt {} messages {} records {}",
                collector.name,
                collector.dropped.counts,
                collector.in_doubt,
                collector.sent_messages,
                collector.encoded_records
            );
        }
    }
}
