//! Outcomes of attempts.

/// How an attempt at an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The endpoint answered.
    Succeeded,
    /// The endpoint answered with an error; the request may have had its effect.
    ServerError,
    /// The endpoint rejected the request before processing it; it has had no effect.
    Rejected,
    /// No response within the timeout; the request may have had its effect, or may still have it.
    TimedOut,
    /// The connection failed to open, or the request was not fully written; it has had no effect.
    ConnectFailed,
    /// The connection broke, or the response was malformed; the request may have had its effect.
    Reset,
    /// The gateway cancelled the attempt after it was sent; the request may have had its effect.
    Cancelled,
    /// The gateway dropped the attempt before it was sent; it has had no effect.
    NotSent,
}
