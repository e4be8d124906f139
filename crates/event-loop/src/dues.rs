//! What falls due, in one ordered structure.

use std::collections::BTreeSet;

use harrierdock_types::time::Point;

pub struct Dues<W>(BTreeSet<(Point, W)>);

impl<W> Default for Dues<W> {
    fn default() -> Dues<W> {
        Dues(BTreeSet::new())
    }
}

impl<W: Ord> Dues<W> {
    pub fn set(&mut self, at: Point, due: W) {
        self.0.insert((at, due));
    }

    pub fn clear(&mut self, at: Point, due: W) {
        self.0.remove(&(at, due));
    }

    pub fn next(&self) -> Option<Point> {
        self.0.first().map(|d| d.0)
    }

    pub fn pop(&mut self, now: Point) -> Option<W> {
        self.next().filter(|at| *at <= now)?;
        self.0.pop_first().map(|d| d.1)
    }
}
