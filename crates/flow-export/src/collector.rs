//! A collector with its send queue and its connection, including retries after connection errors.

use std::path::Path;

use harrierdock_flow_metering::DroppedFlows;
use harrierdock_ipfix::WireFormat;
use harrierdock_types::{TimeDelta, Timestamp};
use nanorand::{Rng, WyRand};

use crate::connection::{
    Connection, ConnectionError, StreamConnection, TlsSettings, UdpConnection,
    MAX_DATAGRAMS_PER_ROUND,
};
use crate::export_context::ExportContext;
use crate::rate_limit::RateLimit;
use crate::send_queue::{SendQueue, SendQueueSettings};
use crate::{CollectorSettings, FlowExportError, MessageFormat, Transport};

/// The maximum datagram size while the path MTU is unknown (RFC 7011, section 10.3.3).
const DEFAULT_DATAGRAM_OCTETS: usize = 1400;
const STREAM_MESSAGE_OCTETS: usize = 8 * 1024;
/// The maximum size of the messages encoded for a stream and not yet written to its socket.
pub(crate) const MAX_QUEUED_OCTETS: usize = 64 * 1024;
/// The interval at which templates are resent over UDP (RFC 7011, section 8.4).
const TEMPLATE_INTERVAL: TimeDelta = TimeDelta::from_millis(10_000);
/// The delay between connection attempts doubles from the first to the maximum, with jitter.
const FIRST_BACKOFF: TimeDelta = TimeDelta::from_millis(250);
const MAX_BACKOFF: TimeDelta = TimeDelta::from_millis(8000);
const MAX_BACKOFF_DOUBLINGS: u32 = 8;

/// Totals of the flows for one collector.
#[derive(Clone, Debug)]
pub struct CollectorSummary {
    /// The collector's name in the settings.
    pub name: String,
    /// Flows dropped for lack of space, at shutdown, or because the collector was removed.
    pub dropped: DroppedFlows,
    /// Messages sent.
    pub sent_messages: u64,
    /// Data records encoded, including records of messages that were not sent.
    pub encoded_records: u64,
    /// Attempts and requests written right before a connection broke, which may not have arrived.
    pub in_doubt: u64,
}

/// A collector with its queue and connection.
pub(crate) struct Collector {
    settings: CollectorSettings,
    tls: Option<TlsSettings>,
    queue: SendQueue,
    connection: Connection,
    /// Connection failures since the last established connection.
    failed_attempts: u32,
    in_doubt: u64,
    rate_limit: RateLimit,
}

impl Collector {
    pub(crate) fn new(
        now: Timestamp,
        settings: &CollectorSettings,
        folder: &Path,
        observation_domain: u32,
    ) -> Result<Collector, FlowExportError> {
        let tls = match settings.read_credentials(folder)? {
            Some(credentials) => Some(TlsSettings::new(&credentials, server_name(settings))?),
            None => None,
        };
        let queue_settings = queue_settings(settings, observation_domain);
        Ok(Collector {
            settings: settings.clone(),
            tls,
            queue: SendQueue::new(now, queue_settings),
            connection: Connection::Backoff(now),
            failed_attempts: 0,
            in_doubt: 0,
            rate_limit: RateLimit::new(now, settings.octets_per_second),
        })
    }

    pub(crate) fn name(&self) -> &str {
        &self.settings.name
    }

    pub(crate) fn queue_mut(&mut self) -> &mut SendQueue {
        &mut self.queue
    }

    /// Takes over the pending flows and counts of the collector that had this name before a reload. Takes over the
    /// earlier collector's connection too if the settings are unchanged.
    pub(crate) fn take_over(&mut self, now: Timestamp, earlier: Collector) {
        // Key files may have new content at the same path.
        let is_unchanged = earlier.settings == self.settings
            && earlier.settings.key_files.is_none()
            && earlier.queue.observation_domain() == self.queue.observation_domain();
        if is_unchanged {
            *self = earlier;
        } else {
            self.in_doubt = earlier.in_doubt + earlier.connection.in_doubt(now);
            self.queue.take_over(earlier.queue);
        }
    }

    /// Connects unless the backoff delay is still running, and sends pending records within the rate limit.
    pub(crate) fn drive(&mut self, rng: &mut WyRand, context: &ExportContext) {
        let now = context.clock.now;
        if let Connection::Backoff(until) = self.connection {
            if now < until {
                return;
            }
        }
        if let Err(e) = self.connect_and_send(context) {
            self.back_off(rng, context, &e);
        }
    }

    fn connect_and_send(&mut self, context: &ExportContext) -> Result<(), ConnectionError> {
        let now = context.clock.now;
        if let Connection::Backoff(_) = self.connection {
            self.connection = self.open(now)?;
        }
        if !self.poll_ready(now)? {
            return Ok(());
        }
        if self.failed_attempts > 0 && self.settings.transport != Transport::Udp {
            tracing::info!("flows: connected to collector {}", self.settings.name);
            self.failed_attempts = 0;
        }
        self.encode(context);
        self.send(now)
    }

    fn open(&self, now: Timestamp) -> Result<Connection, ConnectionError> {
        let address = self.settings.address;
        match self.settings.transport {
            Transport::Udp => Ok(Connection::Udp(UdpConnection::open(address)?)),
            Transport::Tcp | Transport::Tls => {
                let stream = StreamConnection::open(now, address, self.tls.as_ref())?;
                Ok(Connection::Stream(Box::new(stream)))
            }
        }
    }

    fn poll_ready(&mut self, now: Timestamp) -> Result<bool, ConnectionError> {
        match &mut self.connection {
            Connection::Udp(_) => Ok(true),
            Connection::Backoff(_) => Ok(false),
            Connection::Stream(stream) => stream.poll_ready(now),
        }
    }

    /// Encodes pending records within the rate limit, which bounds the load on the collector after a traffic shift or an outage.
    /// At shutdown the rate limit does not apply.
    fn encode(&mut self, context: &ExportContext) {
        let max_queued = match self.settings.transport {
            Transport::Udp => MAX_DATAGRAMS_PER_ROUND * DEFAULT_DATAGRAM_OCTETS,
            Transport::Tcp | Transport::Tls => MAX_QUEUED_OCTETS,
        };
        let available = self.rate_limit.refill(context.clock.now);
        let max_octets = if context.is_shutting_down {
            max_queued
        } else {
            max_queued.min(available)
        };
        let encoded_before = self.queue.encoded_octets();
        self.queue.encode(context, max_octets);
        self.rate_limit
            .consume(self.queue.encoded_octets() - encoded_before);
    }

    fn send(&mut self, now: Timestamp) -> Result<(), ConnectionError> {
        match &mut self.connection {
            Connection::Backoff(_) => Ok(()),
            Connection::Udp(udp) => udp.send(&mut self.queue),
            Connection::Stream(stream) => stream.send(now, &mut self.queue),
        }
    }

    /// Closes the connection, returns unsent flows to the pending ones, and schedules the next connection attempt.
    fn back_off(&mut self, rng: &mut WyRand, context: &ExportContext, error: &ConnectionError) {
        let now = context.clock.now;
        let CollectorSettings { name, address, .. } = &self.settings;
        if self.failed_attempts == 0 {
            tracing::warn!("flows: connection to collector {name} at {address} failed: {error}");
        }
        self.in_doubt += self.connection.in_doubt(now);
        self.queue.requeue_messages();
        let doublings = self.failed_attempts.min(MAX_BACKOFF_DOUBLINGS) as i32;
        let delay = (FIRST_BACKOFF * f64::powi(2.0, doublings)).min(MAX_BACKOFF);
        self.connection = Connection::Backoff(now + delay * (0.5 + rng.generate::<f64>()));
        self.failed_attempts += 1;
        // Each stream connection is a new transport session. The session over UDP continues.
        if self.settings.transport != Transport::Udp {
            self.queue.start_session(context.observation_domain);
        }
        self.queue.resend_templates(now);
    }

    pub(crate) fn summary(&self) -> CollectorSummary {
        CollectorSummary {
            name: self.settings.name.clone(),
            dropped: self.queue.dropped(),
            sent_messages: self.queue.sent_messages(),
            encoded_records: self.queue.encoded_records(),
            in_doubt: self.in_doubt,
        }
    }
}

fn server_name(settings: &CollectorSettings) -> String {
    settings
        .server_name
        .clone()
        .unwrap_or_else(|| settings.address.ip().to_string())
}

fn queue_settings(settings: &CollectorSettings, observation_domain: u32) -> SendQueueSettings {
    let format = match settings.format {
        MessageFormat::Ipfix => WireFormat::Ipfix,
        MessageFormat::NetflowV9 => WireFormat::NetflowV9,
    };
    // Over a stream, templates are sent once per connection.
    let (max_message_octets, template_interval) = match settings.transport {
        Transport::Udp => (
            settings
                .max_datagram_octets
                .unwrap_or(DEFAULT_DATAGRAM_OCTETS),
            Some(TEMPLATE_INTERVAL),
        ),
        Transport::Tcp | Transport::Tls => (STREAM_MESSAGE_OCTETS, None),
    };
    SendQueueSettings {
        format,
        observation_domain,
        max_message_octets,
        template_interval,
    }
}
