//! Reads files of IPFIX messages (RFC 5655).

use std::path::Path;

use harrierdock_flow_metering::RecordKind;
use harrierdock_ipfix::{split_file, DataRecord, FileEnd, InformationElement, MessageReader};

use super::record::RecordFields;
use super::{FlowReport, ReportErrorCause};
use crate::information_elements::{
    BUILD, CLASS, COUNT, DURATION_US, EXPOSURE_LIMIT_PPM, FLOW_END, LATE, OUTCOME,
    RECEIVED_REQUESTS, RETRIES, STAGE,
};
use crate::templates::{ATTEMPT_TEMPLATE_ID, SHARE_TEMPLATE_ID};
use crate::wire_names;

pub(super) fn read(path: &Path, report: &mut FlowReport) -> Result<(), ReportErrorCause> {
    let content = std::fs::read(path)?;
    let split = split_file(&content)?;
    if let FileEnd::TruncatedAt(offset) = split.end {
        report.add_note(format!(
            "{}: skipped the incomplete last message at octet {offset}",
            path.display()
        ));
    }
    let mut reader = MessageReader::default();
    for message in split.messages {
        let message = reader.read(message)?;
        let records = message.records.iter().filter_map(read_fields);
        for record in records.filter_map(RecordFields::into_record) {
            report.add(record);
        }
    }
    Ok(())
}

/// Returns the fields of a record; `None` if reports do not use its template.
fn read_fields(record: &DataRecord) -> Option<RecordFields> {
    let kind = match record.template_id {
        ATTEMPT_TEMPLATE_ID => wire_names::kind(RecordKind::Attempt),
        SHARE_TEMPLATE_ID => wire_names::SHARE_KIND,
        _ => return None,
    };
    Some(RecordFields {
        kind: kind.into(),
        end_ms: number(record, &FLOW_END),
        build: number(record, &BUILD),
        stage: number(record, &STAGE),
        class: text(record, &CLASS),
        outcome: text(record, &OUTCOME),
        count: number(record, &COUNT),
        retries: number(record, &RETRIES),
        late: number(record, &LATE),
        duration_us: number(record, &DURATION_US),
        received_requests: number(record, &RECEIVED_REQUESTS),
        exposure_limit_ppm: number(record, &EXPOSURE_LIMIT_PPM),
    })
}

fn number(record: &DataRecord, element: &InformationElement) -> u64 {
    record
        .number(element.enterprise.unwrap_or(0), element.id)
        .unwrap_or(0)
}

fn text(record: &DataRecord, element: &InformationElement) -> String {
    record
        .text(element.enterprise.unwrap_or(0), element.id)
        .unwrap_or_default()
}
