//! Errors of the adapter.

use std::io;

use harrierdock_config::SettingsError;
use thiserror::Error;

/// Why the adapter terminated. Lines are numbered from 1.
#[derive(Debug, Error)]
pub enum ServeError {
    /// A line cannot be read.
    #[error("line {line}: cannot be read: {source}")]
    Read {
        /// The number of the line.
        line: usize,
        /// The I/O error.
        source: io::Error,
    },
    /// A batch is malformed.
    #[error("line {line}: {source}")]
    Batch {
        /// The number of the line.
        line: usize,
        /// The defect of the batch.
        source: BatchError,
    },
    /// A reply cannot be written.
    #[error("line {line}: the reply cannot be written: {source}")]
    Write {
        /// The number of the batch's line.
        line: usize,
        /// The I/O error.
        source: io::Error,
    },
}

/// Why a batch was rejected. Events are numbered from 1.
#[derive(Debug, Error)]
pub enum BatchError {
    /// The line is not valid JSON.
    #[error("not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// The batch has no integer `ts`, the time of its events.
    #[error("the batch has no clock 'ts'")]
    MissingTimestamp,
    /// The batch has no array `input`, the list of its events.
    #[error("the batch has no array 'input'")]
    MissingEvents,
    /// An event is not an array.
    #[error("event {event}: not an array")]
    NotAnArray {
        /// The number of the event.
        event: usize,
    },
    /// An event has no name.
    #[error("event {event}: {source}")]
    MissingName {
        /// The number of the event.
        event: usize,
        /// Why the name cannot be read.
        source: EventError,
    },
    /// An event is malformed.
    #[error("event {event} ({name}): {source}")]
    Event {
        /// The number of the event.
        event: usize,
        /// The name of the event.
        name: String,
        /// The defect of the event.
        source: EventError,
    },
}

/// Why an event was rejected. Values are numbered from 0, the event's name included.
#[derive(Debug, Error)]
pub enum EventError {
    /// The name of the event is unknown.
    #[error("unknown event")]
    UnknownEvent,
    /// A value has the wrong type.
    #[error("value {at} is not {expected}")]
    WrongValue {
        /// The index of the value.
        at: usize,
        /// The expected type.
        expected: &'static str,
    },
    /// A value is not a build number of 32 bits.
    #[error("value {at} is no build")]
    InvalidBuild {
        /// The index of the value.
        at: usize,
    },
    /// A value is not a seed, an integer of 64 bits.
    #[error("value {at} is no seed")]
    InvalidSeed {
        /// The index of the value.
        at: usize,
    },
    /// A value is not one of the words allowed in its place.
    #[error("unknown {what} '{word}'")]
    UnknownWord {
        /// The kind of word, such as `outcome`.
        what: &'static str,
        /// The unknown word.
        word: String,
    },
    /// An event names an endpoint that no endpoint list has contained.
    #[error("server {name} was on no list")]
    UnknownEndpoint {
        /// The name of the endpoint.
        name: String,
    },
    /// An entry of an endpoint list is not an array.
    #[error("a list line is not an array")]
    ListEntryNotAnArray,
    /// An event refers to an endpoint list that was not sent.
    #[error("no list {list} was sent")]
    UnknownList {
        /// The number of the list.
        list: i64,
    },
    /// An event refers to an instance that does not run.
    #[error("no instance {instance} runs")]
    UnknownInstance {
        /// The number of the instance.
        instance: i64,
    },
    /// The settings of an instance are invalid.
    #[error("options: {0}")]
    Settings(#[from] SettingsError),
}
