//! Points in time and spans between them, in microseconds, as two types that cannot be mixed up.

use std::ops::{Add, Div, Mul, Sub};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Point(pub i64);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span(pub i64);

impl Span {
    pub const ZERO: Span = Span(0);

    pub fn secs(s: f64) -> Span {
        Span((s * 1e6) as i64)
    }

    pub fn as_secs(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// How many times `other` goes into this span; an empty `other` counts as one microsecond.
    pub fn over(self, other: Span) -> f64 {
        self.0 as f64 / other.0.max(1) as f64
    }
}

impl Sub for Point {
    type Output = Span;
    fn sub(self, other: Point) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

impl Add<Span> for Point {
    type Output = Point;
    fn add(self, span: Span) -> Point {
        Point(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Point {
    type Output = Point;
    fn sub(self, span: Span) -> Point {
        Point(self.0.saturating_sub(span.0))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl Sub for Span {
    type Output = Span;
    fn sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

impl Mul<f64> for Span {
    type Output = Span;
    fn mul(self, by: f64) -> Span {
        Span((self.0 as f64 * by) as i64)
    }
}

impl Div<f64> for Span {
    type Output = Span;
    fn div(self, by: f64) -> Span {
        Span((self.0 as f64 / by) as i64)
    }
}
