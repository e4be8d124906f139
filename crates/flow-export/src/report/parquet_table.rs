//! Reads Parquet tables written by a collector.

use std::fs::File;
use std::path::Path;

use parquet::file::reader::{FileReader, SerializedFileReader};
use parquet::record::{Field, Row};

use super::record::RecordFields;
use super::{FlowReport, ReportErrorCause};

pub(super) fn read(path: &Path, report: &mut FlowReport) -> Result<(), ReportErrorCause> {
    let reader = SerializedFileReader::new(File::open(path)?)?;
    for row in reader.get_row_iter(None)? {
        if let Some(record) = read_fields(&row?).into_record() {
            report.add(record);
        }
    }
    Ok(())
}

fn read_fields(row: &Row) -> RecordFields {
    let mut fields = RecordFields::default();
    for (column, field) in row.get_column_iter() {
        match column.as_str() {
            "kind" => fields.kind = text(field),
            "product" => fields.class = text(field),
            "outcome" => fields.outcome = text(field),
            "end_ms" => fields.end_ms = number(field),
            "build" => fields.build = number(field),
            "stage" => fields.stage = number(field),
            "count" => fields.count = number(field),
            "second" => fields.retries = number(field),
            "late" => fields.late = number(field),
            "time_us" => fields.duration_us = number(field),
            "taken" => fields.received_requests = number(field),
            "cap_ppm" => fields.exposure_limit_ppm = number(field),
            _ => {}
        }
    }
    fields
}

fn number(field: &Field) -> u64 {
    match field {
        Field::Long(number) => *number as u64,
        _ => 0,
    }
}

fn text(field: &Field) -> String {
    match field {
        Field::Str(text) => text.clone(),
        _ => String::new(),
    }
}
