//! What may be wrong with the input.

use std::io;

use harrierdock_config::SettingsError;
use thiserror::Error;

/// Why the adapter ends. Lines are counted from 1.
#[derive(Debug, Error)]
pub enum ServeError {
    /// A line cannot be read.
    #[error("line {line}: cannot be read: {source}")]
    Read {
        /// The line.
        line: usize,
        /// Why.
        source: io::Error,
    },
    /// A batch is malformed.
    #[error("line {line}: {source}")]
    Batch {
        /// The line.
        line: usize,
        /// Why.
        source: BatchError,
    },
    /// A reply cannot be written.
    #[error("line {line}: the reply cannot be written: {source}")]
    Write {
        /// The line of the batch.
        line: usize,
        /// Why.
        source: io::Error,
    },
}

/// What is wrong with a batch. Events are counted from 1.
#[derive(Debug, Error)]
pub enum BatchError {
    /// It is not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// It has no time.
    #[error("the batch has no clock 'ts'")]
    NoClock,
    /// It has no events.
    #[error("the batch has no array 'input'")]
    NoInput,
    /// An event is not an array.
    #[error("event {event}: not an array")]
    NotAnArray {
        /// The event.
        event: usize,
    },
    /// An event has no name.
    #[error("event {event}: {source}")]
    Unnamed {
        /// The event.
        event: usize,
        /// Why.
        source: EventError,
    },
    /// An event is malformed.
    #[error("event {event} ({name}): {source}")]
    Event {
        /// The event.
        event: usize,
        /// Its name.
        name: String,
        /// Why.
        source: EventError,
    },
}

/// What is wrong with an event. Values are counted from 0, the event's name included.
#[derive(Debug, Error)]
pub enum EventError {
    /// No event has this name.
    #[error("unknown event")]
    UnknownEvent,
    /// A value is not of its type.
    #[error("value {at} is not {expected}")]
    WrongValue {
        /// The value.
        at: usize,
        /// What it should be.
        expected: &'static str,
    },
    /// A value is not a build.
    #[error("value {at} is no build")]
    NoBuild {
        /// The value.
        at: usize,
    },
    /// A value is not a seed.
    #[error("value {at} is no seed")]
    NoSeed {
        /// The value.
        at: usize,
    },
    /// A word is not among those that the wire knows.
    #[error("unknown {what} '{word}'")]
    UnknownWord {
        /// What the word stands for.
        what: &'static str,
        /// The word.
        word: String,
    },
    /// An endpoint was on no list.
    #[error("server {name} was on no list")]
    UnknownEndpoint {
        /// Its name.
        name: String,
    },
    /// A line of a list is not an array.
    #[error("a list line is not an array")]
    ListLineNotAnArray,
    /// A list is named that was not sent.
    #[error("no list {list} was sent")]
    UnknownList {
        /// Its number.
        list: i64,
    },
    /// An instance is named that does not run.
    #[error("no instance {instance} runs")]
    UnknownInstance {
        /// Its number.
        instance: i64,
    },
    /// The settings of an instance are refused.
    #[error("options: {0}")]
    Settings(#[from] SettingsError),
}
