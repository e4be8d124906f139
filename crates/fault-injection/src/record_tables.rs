//! Writes the records that a collector received to CSV and Parquet files.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use parquet::data_type::{ByteArray, ByteArrayType, Int64Type};
use parquet::errors::ParquetError;
use parquet::file::properties::WriterProperties;
use parquet::file::writer::SerializedFileWriter;
use parquet::schema::parser::parse_message_type;
use thiserror::Error;

use crate::collector::{CollectedRecord, NUMBER_COLUMNS, TEXT_COLUMNS};

/// Why a table can't be written.
#[derive(Debug, Error)]
pub enum TableError {
    /// A CSV file can't be opened or written.
    #[error("can't write {path}: {source}", path = path.display())]
    Csv {
        /// Path of the file.
        path: PathBuf,
        /// The error of the writer.
        source: csv::Error,
    },
    /// The last rows of a CSV file can't be flushed.
    #[error("can't write {path}: {source}", path = path.display())]
    Flush {
        /// Path of the file.
        path: PathBuf,
        /// The error of the writer.
        source: io::Error,
    },
    /// A Parquet file can't be written.
    #[error("can't write {path}: {source}", path = path.display())]
    Parquet {
        /// Path of the file.
        path: PathBuf,
        /// The error of the writer.
        source: ParquetError,
    },
}

/// Writes the records as a CSV file with a header row.
///
/// # Errors
///
/// The file can't be written.
pub fn write_csv(path: &Path, records: &[CollectedRecord]) -> Result<(), TableError> {
    let csv_error = |source| TableError::Csv {
        path: path.into(),
        source,
    };
    let mut writer = csv::Writer::from_path(path).map_err(csv_error)?;
    writer
        .write_record(NUMBER_COLUMNS.iter().chain(&TEXT_COLUMNS))
        .map_err(csv_error)?;
    for record in records {
        let numbers = record.numbers.iter().map(u64::to_string);
        writer
            .write_record(numbers.chain(record.texts.iter().cloned()))
            .map_err(csv_error)?;
    }
    writer.flush().map_err(|source| TableError::Flush {
        path: path.into(),
        source,
    })
}

/// Writes the records as one Parquet file, with numbers as INT64 and texts as UTF8.
///
/// # Errors
///
/// The file can't be written.
pub fn write_parquet(path: &Path, records: &[CollectedRecord]) -> Result<(), TableError> {
    write_parquet_file(path, records).map_err(|source| TableError::Parquet {
        path: path.into(),
        source,
    })
}

fn write_parquet_file(path: &Path, records: &[CollectedRecord]) -> Result<(), ParquetError> {
    let schema = Arc::new(parse_message_type(&parquet_schema())?);
    let properties = Arc::new(WriterProperties::builder().build());
    let mut writer = SerializedFileWriter::new(File::create(path)?, schema, properties)?;
    let mut group = writer.next_row_group()?;
    let mut column_index = 0;
    while let Some(mut column) = group.next_column()? {
        if column_index < NUMBER_COLUMNS.len() {
            let values: Vec<i64> = records
                .iter()
                .map(|record| record.numbers[column_index] as i64)
                .collect();
            column
                .typed::<Int64Type>()
                .write_batch(&values, None, None)?;
        } else {
            let text_index = column_index - NUMBER_COLUMNS.len();
            let values: Vec<ByteArray> = records
                .iter()
                .map(|record| ByteArray::from(record.texts[text_index].as_str()))
                .collect();
            column
                .typed::<ByteArrayType>()
                .write_batch(&values, None, None)?;
        }
        column.close()?;
        column_index += 1;
    }
    group.close()?;
    writer.close()?;
    Ok(())
}

fn parquet_schema() -> String {
    let numbers = NUMBER_COLUMNS
        .iter()
        .map(|name| format!("required int64 {name};"));
    let texts = TEXT_COLUMNS
        .iter()
        .map(|name| format!("required binary {name} (UTF8);"));
    let columns: Vec<String> = numbers.chain(texts).collect();
    format!("message flows {{ {} }}", columns.join(" "))
}
