//! When a fault happens, as switches of the command line name it.

use std::str::FromStr;

use thiserror::Error;

/// The sites' names on the command line, in the order of their numbers.
const SITE_NAMES: [&str; 2] = ["A", "B"];

/// What is wrong with a point or span in time that a switch names.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ScheduleError {
    /// No site with a second.
    #[error("'{text}' is not SITE@SECOND, as A@3")]
    SiteTime {
        /// What was given.
        text: String,
    },
    /// No start with a duration.
    #[error("'{text}' is not SECOND+SECONDS, as 3+10")]
    Outage {
        /// What was given.
        text: String,
    },
}

/// A point in time at one site, written as `A@3`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SiteTime {
    /// The site's number, from 0.
    pub site: usize,
    /// Seconds since the start.
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

/// A span in which something is unavailable, written as `3+10`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outage {
    /// When it begins, in seconds since the start.
    pub start_second: f64,
    /// How long it lasts, in seconds.
    pub duration_seconds: f64,
}

impl Outage {
    /// When it ends, in seconds since the start.
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
