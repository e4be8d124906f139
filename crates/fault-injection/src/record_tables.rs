//! Tables of what a collector got, as CSV and as Parquet.

use std::fs::File;
use std::path::Path;
use std::sync::Arc;

use parquet::data_type::{ByteArray, ByteArrayType, Int64Type};
use parquet::file::properties::WriterProperties;
use parquet::file::writer::SerializedFileWriter;
use parquet::schema::parser::parse_message_type;

use crate::collector::{Told, NUMBERS, TEXTS};

/// Writes the rows as CSV, with the columns' names in front.
pub fn csv(path: &Path, rows: &[Told]) -> Result<(), String> {
    let wrong = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let mut writer = csv::Writer::from_path(path).map_err(|e| wrong(&e))?;
    writer
        .write_record(NUMBERS.iter().chain(&TEXTS))
        .map_err(|e| wrong(&e))?;
    for row in rows {
        let numbers = row.numbers.iter().map(u64::to_string);
        writer
            .write_record(numbers.chain(row.texts.iter().cloned()))
            .map_err(|e| wrong(&e))?;
    }
    writer.flush().map_err(|e| wrong(&e))
}

/// Writes the rows as one Parquet file: numbers as INT64, texts as UTF8.
pub fn parquet(path: &Path, rows: &[Told]) -> Result<(), String> {
    let wrong = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let numbers = NUMBERS.iter().map(|name| format!("required int64 {name};"));
    let texts = TEXTS
        .iter()
        .map(|name| format!("required binary {name} (UTF8);"));
    let schema = format!(
        "message flows {{ {} }}",
        numbers.chain(texts).collect::<Vec<_>>().join(" ")
    );
    let write = || -> Result<(), parquet::errors::ParquetError> {
        let schema = Arc::new(parse_message_type(&schema)?);
        let properties = Arc::new(WriterProperties::builder().build());
        let mut writer = SerializedFileWriter::new(File::create(path)?, schema, properties)?;
        let mut group = writer.next_row_group()?;
        let mut at = 0;
        while let Some(mut column) = group.next_column()? {
            if at < NUMBERS.len() {
                let values: Vec<i64> = rows.iter().map(|r| r.numbers[at] as i64).collect();
                column
                    .typed::<Int64Type>()
                    .write_batch(&values, None, None)?;
            } else {
                let text = |r: &Told| ByteArray::from(r.texts[at - NUMBERS.len()].as_str());
                let values: Vec<ByteArray> = rows.iter().map(text).collect();
                column
                    .typed::<ByteArrayType>()
                    .write_batch(&values, None, None)?;
            }
            column.close()?;
            at += 1;
        }
        group.close()?;
        writer.close()?;
        Ok(())
    };
    write().map_err(|e| wrong(&e))
}
