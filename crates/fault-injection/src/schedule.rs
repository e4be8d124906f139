//! Times of faults in command-line arguments.

use std::str::FromStr;

use thiserror::Error;

/// The sites' names on the command line, ordered by index.
const SITE_NAMES: [&str; 2] = ["A", "B"];

/// Why a time in a command-line argument can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ScheduleError {
    /// The text isn't a site and a time.
    #[error("'{text}' is not of the form SITE@SECOND, such as A@3")]
    SiteTime {
        /// The argument as given.
        text: String,
    },
    /// The text isn't a start and a duration.
    #[error("'{text}' is not of the form SECOND+SECONDS, such as 3+10")]
    Outage {
        /// The argument as given.
        text: String,
    },
}

/// A time at one site, written as `A@3`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SiteTime {
    /// Index of the site, from 0.
    pub site: usize,
    /// Seconds since the start of the run.
    pub second: f64,
}

impl FromStr for SiteTime {
    type Err = ScheduleError;

    fn from_str(text: &str) -> Result<SiteTime, ScheduleError> {
        let error = || ScheduleError::SiteTime { text: text.into() };
        let (site, second) = text.split_once('@').ok_or_else(error)?;
        let site = SITE_NAMES
            .iter()
            .position(|name| *name == site)
            .ok_or_else(error)?;
        let second = second.parse().map_err(|_| error())?;
        Ok(SiteTime { site, second })
    }
}

/// A period of unavailability, written as `3+10`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outage {
    /// Start of the outage, in seconds since the start of the run.
    pub start_second: f64,
    /// Duration of the outage, in seconds.
    pub duration_seconds: f64,
}

impl Outage {
    /// End of the outage, in seconds since the start of the run.
    pub fn end_second(&self) -> f64 {
        self.start_second + self.duration_seconds
    }
}

impl FromStr for Outage {
    type Err = ScheduleError;

    fn from_str(text: &str) -> Result<Outage, ScheduleError> {
        let error = || ScheduleError::Outage { text: text.into() };
        let (start, duration) = text.split_once('+').ok_or_else(error)?;
        Ok(Outage {
            start_second: start.parse().map_err(|_| error())?,
            duration_seconds: duration.parse().map_err(|_| error())?,
        })
    }
}
