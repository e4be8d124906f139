//! The send queue of a collector or the flow file: pending flows and shares, and the messages encoded from them.

use std::collections::VecDeque;

use harrierdock_flow_metering::{DroppedFlows, Flow, PendingFlows, MAX_FLOW_KEYS};
use harrierdock_ipfix::{MessageWriter, Value, WireFormat};
use harrierdock_types::{TimeDelta, Timestamp};

use crate::export_context::ExportContext;
use crate::rollout_share::{BuildStage, PendingShares, RolloutShare};
use crate::templates::{element_type_values, flow_values, share_values};

const STATISTICS_INTERVAL: TimeDelta = TimeDelta::from_millis(5000);
/// Estimated record sizes, rounded up, so that encoding exceeds its limit only slightly.
const ESTIMATED_SHARE_OCTETS: usize = 64;
const ESTIMATED_FLOW_OCTETS: usize = 200;

/// The format and limits of a queue's messages.
pub(crate) struct SendQueueSettings {
    pub(crate) format: WireFormat,
    pub(crate) observation_domain: u32,
    pub(crate) max_message_octets: usize,
    /// The interval at which templates are resent; `None` to send them once per transport session.
    pub(crate) template_interval: Option<TimeDelta>,
}

/// An encoded message, and the flows in it, which become pending again if the message cannot be sent.
pub(crate) struct QueuedMessage {
    pub(crate) octets: Vec<u8>,
    flows: Vec<Flow>,
}

impl QueuedMessage {
    /// Returns the number of attempts and requests that the message's flows count.
    pub(crate) fn observation_count(&self) -> u64 {
        self.flows.iter().map(|flow| flow.counters.count).sum()
    }
}

/// Pending flows and shares, and encoded messages, for one collector or the flow file.
pub(crate) struct SendQueue {
    settings: SendQueueSettings,
    pending: PendingFlows,
    shares: PendingShares,
    writer: MessageWriter,
    messages: VecDeque<QueuedMessage>,
    next_templates: Timestamp,
    next_statistics: Timestamp,
    sent_messages: u64,
    encoded_records: u64,
    encoded_octets: u64,
}

impl SendQueue {
    pub(crate) fn new(now: Timestamp, settings: SendQueueSettings) -> SendQueue {
        SendQueue {
            writer: new_writer(&settings),
            settings,
            pending: PendingFlows::new(MAX_FLOW_KEYS),
            shares: PendingShares::default(),
            messages: VecDeque::new(),
            next_templates: now,
            next_statistics: now,
            sent_messages: 0,
            encoded_records: 0,
            encoded_octets: 0,
        }
    }

    /// Returns the observation domain of the queue's messages.
    pub(crate) fn observation_domain(&self) -> u32 {
        self.settings.observation_domain
    }

    /// Starts a new transport session. Its sequence numbers start at 0.
    pub(crate) fn start_session(&mut self, observation_domain: u32) {
        self.settings.observation_domain = observation_domain;
        self.writer = new_writer(&self.settings);
    }

    /// Makes the next encoding include templates and statistics.
    pub(crate) fn resend_templates(&mut self, now: Timestamp) {
        self.next_templates = now;
        self.next_statistics = now;
    }

    pub(crate) fn add_flows(&mut self, flows: &[Flow]) {
        for flow in flows {
            self.pending.add(*flow);
        }
    }

    pub(crate) fn add_shares(&mut self, shares: &[(BuildStage, RolloutShare)]) {
        for (build_stage, share) in shares {
            self.shares.add(*build_stage, share);
        }
    }

    /// Returns whether no flow or share waits to be encoded.
    pub(crate) fn is_empty(&self) -> bool {
        self.pending.is_empty() && self.shares.is_empty()
    }

    /// Returns the next message to send.
    pub(crate) fn front(&self) -> Option<&QueuedMessage> {
        self.messages.front()
    }

    /// Removes the next message, and counts it as sent.
    pub(crate) fn pop_sent(&mut self) -> Option<QueuedMessage> {
        let message = self.messages.pop_front()?;
        self.sent_messages += 1;
        Some(message)
    }

    /// Returns the flows of unsent messages to the pending flows.
    pub(crate) fn requeue_messages(&mut self) {
        for message in std::mem::take(&mut self.messages) {
            self.add_flows(&message.flows);
        }
    }

    /// Drops all pending flows, including the flows of unsent messages.
    pub(crate) fn drop_all(&mut self) {
        self.requeue_messages();
        self.pending.drop_all();
    }

    /// Takes over the pending flows, the shares and the counts of an earlier queue.
    pub(crate) fn take_over(&mut self, mut earlier: SendQueue) {
        earlier.requeue_messages();
        self.pending = earlier.pending;
        self.shares = earlier.shares;
        self.sent_messages = earlier.sent_messages;
        self.encoded_records = earlier.encoded_records;
    }

    pub(crate) fn dropped(&self) -> DroppedFlows {
        self.pending.dropped()
    }

    pub(crate) fn sent_messages(&self) -> u64 {
        self.sent_messages
    }

    pub(crate) fn encoded_records(&self) -> u64 {
        self.encoded_records
    }

    pub(crate) fn encoded_octets(&self) -> u64 {
        self.encoded_octets
    }

    /// Encodes pending records into messages, until about `max_octets` octets of messages are queued.
    pub(crate) fn encode(&mut self, context: &ExportContext, max_octets: usize) {
        let now = context.clock.now;
        let queued: usize = self
            .messages
            .iter()
            .map(|message| message.octets.len())
            .sum();
        let budget = max_octets.saturating_sub(queued);
        if now >= self.next_templates && budget > 0 {
            self.encode_templates(context);
        }
        if now >= self.next_statistics && budget > 0 {
            self.encode_statistics(context);
        }
        let budget = self.encode_shares(context, budget);
        let mut unassigned = self.encode_flows(context, budget);
        self.writer.flush();
        self.queue_finished(context, &mut unassigned, true);
    }

    fn encode_templates(&mut self, context: &ExportContext) {
        let templates = context.templates;
        for template in templates.all() {
            let written = self.writer.add_template(template);
            debug_assert!(written.is_ok(), "a template exceeds the message size");
        }
        if self.settings.format == WireFormat::Ipfix {
            for element in templates.enterprise_elements() {
                let values = element_type_values(element);
                let written = self.writer.add_record(&templates.element_types, &values);
                debug_assert!(written.is_ok(), "a type record exceeds the message size");
            }
        }
        self.next_templates = match self.settings.template_interval {
            Some(interval) => context.clock.now + interval,
            None => Timestamp(i64::MAX),
        };
    }

    fn encode_statistics(&mut self, context: &ExportContext) {
        let dropped = self.pending.dropped();
        let totals = [
            u64::from(std::process::id()),
            self.sent_messages,
            self.encoded_records,
            dropped.flows,
            context.ignored,
        ];
        let values: Vec<Value> = totals
            .into_iter()
            .chain(context.observed)
            .chain(dropped.counts)
            .map(Value::Number)
            .collect();
        let written = self
            .writer
            .add_record(&context.templates.statistics, &values);
        debug_assert!(written.is_ok(), "the statistics exceed the message size");
        self.next_statistics = context.clock.now + STATISTICS_INTERVAL;
    }

    /// Encodes shares within a budget of octets, and returns the remaining budget.
    fn encode_shares(&mut self, context: &ExportContext, mut budget: usize) -> usize {
        while budget > 0 {
            let Some((build_stage, share)) = self.shares.pop_first() else {
                break;
            };
            let values = share_values(build_stage, &share, &context.clock);
            let written = self.writer.add_record(&context.templates.shares, &values);
            debug_assert!(written.is_ok(), "a share exceeds the message size");
            budget = budget.saturating_sub(ESTIMATED_SHARE_OCTETS);
        }
        budget
    }

    /// Encodes flows within a budget of octets, and returns the flows whose message is not finished yet.
    fn encode_flows(&mut self, context: &ExportContext, mut budget: usize) -> Vec<Flow> {
        let mut unassigned = Vec::new();
        while budget > 0 {
            let Some(flow) = self.pending.pop_first() else {
                break;
            };
            let template = context.templates.flow_template(flow.key.kind);
            let values = flow_values(&flow, context.names, &context.clock);
            let written = self.writer.add_record(template, &values);
            debug_assert!(written.is_ok(), "a flow exceeds the message size");
            unassigned.push(flow);
            self.queue_finished(context, &mut unassigned, false);
            budget = budget.saturating_sub(ESTIMATED_FLOW_OCTETS);
        }
        unassigned
    }

    /// Queues the finished messages with their flows. `unassigned` holds the encoded flows that no queued message contains. Unless
    /// the writer was flushed, the last unassigned flow is in the next message.
    fn queue_finished(
        &mut self,
        context: &ExportContext,
        unassigned: &mut Vec<Flow>,
        is_flushed: bool,
    ) {
        let clock = &context.clock;
        let finished = self
            .writer
            .take_messages(clock.unix_seconds(), clock.uptime_ms());
        let last = finished.len().saturating_sub(1);
        for (index, message) in finished.into_iter().enumerate() {
            let in_next_message = usize::from(!is_flushed || index < last);
            let in_message = unassigned.len().saturating_sub(in_next_message);
            self.encoded_records += u64::from(message.record_count);
            self.encoded_octets += message.octets.len() as u64;
            self.messages.push_back(QueuedMessage {
                octets: message.octets,
                flows: unassigned.drain(..in_message).collect(),
            });
        }
    }
}

fn new_writer(settings: &SendQueueSettings) -> MessageWriter {
    MessageWriter::new(
        settings.format,
        settings.observation_domain,
        settings.max_message_octets,
    )
}
