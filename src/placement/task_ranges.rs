//! Ascending task indices, stored as ranges: a job of 100,000 tasks that were never started takes one entry.

use std::ops::Range;

/// Ascending task indices of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TaskRanges {
    ranges: Vec<PositionedRange>,
    len: usize,
}

/// A range with the number of indices before it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct PositionedRange {
    position: usize,
    tasks: Range<u32>,
}

impl TaskRanges {
    /// Adds indices that are greater than all present ones.
    pub fn push(&mut self, tasks: Range<u32>) {
        if tasks.is_empty() {
            return;
        }
        let position = self.len;
        self.len += tasks.len();
        match self.ranges.last_mut() {
            Some(last) if last.tasks.end == tasks.start => last.tasks.end = tasks.end,
            _ => self.ranges.push(PositionedRange { position, tasks }),
        }
    }

    /// Number of indices.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The index at a position; `None` beyond the last one.
    pub fn get(&self, position: usize) -> Option<u32> {
        let after = self.ranges.partition_point(|r| r.position <= position);
        let range = &self.ranges[after.checked_sub(1)?];
        let task = range.tasks.start + (position - range.position) as u32;
        range.tasks.contains(&task).then_some(task)
    }

    /// All indices.
    pub fn iter(&self) -> impl Iterator<Item = u32> {
        self.ranges.iter().flat_map(|range| range.tasks.clone())
    }
}

impl FromIterator<u32> for TaskRanges {
    fn from_iter<I: IntoIterator<Item = u32>>(tasks: I) -> Self {
        let mut ranges = Self::default();
        for task in tasks {
            ranges.push(task..task + 1);
        }
        ranges
    }
}

#[cfg(test)]
mod tests;
