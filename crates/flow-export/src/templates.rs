//! The templates of exported records, and the values of their fields.

use harrierdock_config::Names;
use harrierdock_flow_metering::{Flow, FlowCounters, FlowKey, RecordKind};
use harrierdock_ipfix::{InformationElement, Template, Value, ENTERPRISE_NUMBER};
use harrierdock_types::{ClassId, EndpointId};

use crate::export_context::ExportClock;
use crate::information_elements::{
    BUILD, CLASS, COUNT, DROPPED, DROPPED_FLOWS, DURATION_HISTOGRAM, DURATION_US,
    ELEMENT_TYPE_FIELDS, ENDPOINT, EXPORTED_MESSAGES, EXPORTED_RECORDS, EXPORTING_PROCESS,
    EXPOSURE_LIMIT_PPM, FLOW_END, FLOW_START, IGNORED, LATE, OBSERVED, OUTCOME, PATH,
    RECEIVED_REQUESTS, REQUEST_OCTETS, RESPONSE_OCTETS, RETRIES, STAGE,
};
use crate::rollout_share::{BuildStage, RolloutShare};
use crate::wire_names;

/// Template of flows of attempts.
pub(crate) const ATTEMPT_TEMPLATE_ID: u16 = 256;
const REQUEST_TEMPLATE_ID: u16 = 257;
/// Template of each build's share of attempts.
pub(crate) const SHARE_TEMPLATE_ID: u16 = 258;
const STATISTICS_TEMPLATE_ID: u16 = 259;
const ELEMENT_TYPE_TEMPLATE_ID: u16 = 260;

/// The templates of all exported records.
pub(crate) struct Templates {
    attempts: Template,
    requests: Template,
    pub(crate) shares: Template,
    pub(crate) statistics: Template,
    pub(crate) element_types: Template,
}

fn template(id: u16, scope_field_count: u16, fields: &[&[InformationElement]]) -> Template {
    Template {
        id,
        scope_field_count,
        fields: fields.concat(),
    }
}

impl Templates {
    pub(crate) fn new() -> Templates {
        let key = [FLOW_START, FLOW_END, CLASS, OUTCOME, PATH];
        let counts = [COUNT, RETRIES, LATE, DURATION_US];
        let octets = [REQUEST_OCTETS, RESPONSE_OCTETS];
        let counters = [&counts[..], &DURATION_HISTOGRAM, &octets].concat();
        let share = [
            FLOW_START,
            FLOW_END,
            BUILD,
            STAGE,
            EXPOSURE_LIMIT_PPM,
            RECEIVED_REQUESTS,
            COUNT,
        ];
        let totals = [
            EXPORTING_PROCESS,
            EXPORTED_MESSAGES,
            EXPORTED_RECORDS,
            DROPPED_FLOWS,
            IGNORED,
        ];
        Templates {
            attempts: template(
                ATTEMPT_TEMPLATE_ID,
                0,
                &[&key, &[BUILD, STAGE, ENDPOINT], &counters],
            ),
            requests: template(REQUEST_TEMPLATE_ID, 0, &[&key, &counters]),
            shares: template(SHARE_TEMPLATE_ID, 0, &[&share]),
            statistics: template(STATISTICS_TEMPLATE_ID, 1, &[&totals, &OBSERVED, &DROPPED]),
            element_types: template(ELEMENT_TYPE_TEMPLATE_ID, 2, &[&ELEMENT_TYPE_FIELDS]),
        }
    }

    pub(crate) fn all(&self) -> [&Template; 5] {
        [
            &self.attempts,
            &self.requests,
            &self.shares,
            &self.statistics,
            &self.element_types,
        ]
    }

    pub(crate) fn flow_template(&self, kind: RecordKind) -> &Template {
        match kind {
            RecordKind::Attempt => &self.attempts,
            RecordKind::Request => &self.requests,
        }
    }

    /// Returns the enterprise-specific elements of all templates, each once.
    pub(crate) fn enterprise_elements(&self) -> Vec<&InformationElement> {
        let mut elements: Vec<&InformationElement> = Vec::new();
        let fields = self.all().into_iter().flat_map(|template| &template.fields);
        for field in fields.filter(|field| field.enterprise.is_some()) {
            if !elements.iter().any(|other| other.id == field.id) {
                elements.push(field);
            }
        }
        elements
    }
}

/// Returns the values of an information element's type record.
pub(crate) fn element_type_values(element: &InformationElement) -> [Value; 6] {
    [
        Value::Number(u64::from(ENTERPRISE_NUMBER)),
        Value::Number(u64::from(element.id)),
        Value::Number(element.data_type as u64),
        Value::Number(element.semantics as u64),
        Value::Number(u64::from(element.units)),
        Value::from(element.name),
    ]
}

/// Returns the values of a share record, in template order.
pub(crate) fn share_values(
    build_stage: BuildStage,
    share: &RolloutShare,
    clock: &ExportClock,
) -> [Value; 7] {
    [
        clock.unix_ms_at(share.start),
        clock.unix_ms_at(share.end),
        u64::from(build_stage.build.0),
        u64::from(build_stage.stage),
        share.exposure_limit_ppm,
        share.received_requests,
        share.attempts,
    ]
    .map(Value::Number)
}

/// Returns the values of a flow, in the order of the template of its kind.
pub(crate) fn flow_values(flow: &Flow, names: &Names, clock: &ExportClock) -> Vec<Value> {
    let key = &flow.key;
    let class = names.classes.name(ClassId(usize::from(key.class)));
    let mut values = vec![
        Value::Number(clock.unix_ms_at(flow.start)),
        Value::Number(clock.unix_ms_at(flow.end)),
        Value::from(class),
        Value::from(wire_names::outcome(key.outcome)),
        Value::from(wire_names::path(key.path)),
    ];
    if key.kind == RecordKind::Attempt {
        values.extend([
            Value::Number(u64::from(key.build.0)),
            Value::Number(u64::from(key.stage)),
            Value::from(endpoint_name(key, names)),
        ]);
    }
    values.extend(counter_values(&flow.counters));
    values
}

fn endpoint_name<'a>(key: &FlowKey, names: &'a Names) -> &'a str {
    key.endpoint
        .and_then(|id| names.endpoints.name(EndpointId(id as usize)))
        .unwrap_or("")
}

fn counter_values(counters: &FlowCounters) -> impl Iterator<Item = Value> {
    let counts = [
        counters.count,
        counters.retries,
        counters.late,
        counters.duration_us,
    ];
    let octets = [counters.request_octets, counters.response_octets];
    counts
        .into_iter()
        .chain(counters.duration_histogram)
        .chain(octets)
        .map(Value::Number)
}
