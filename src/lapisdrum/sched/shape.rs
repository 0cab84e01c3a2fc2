//! Compact text format of a job's steps, for log lines.
//!
//! All fields of all steps would take some kilobytes per job. The analysis of a job's time needs
//! only the number of tasks of each step, their estimated run time, whether they are long-running,
//! and which steps they depend on: `8x2700 4x900@0,1 6x500+` is a step of 8 tasks of 2.7 s, one of
//! 4 tasks of 0.9 s after the steps 0 and 1, and one of 6 tasks that run until the job is
//! cancelled.

use super::job::{JobSpec, Step, chains_ms};
use std::{fmt, str::FromStr};

/// The fields of a step that are logged.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StepShape {
    /// Number of tasks.
    pub count: u32,
    /// The caller's rough estimate of a task's run time, in milliseconds.
    pub estimate_ms: u64,
    /// Whether the tasks run until the job is cancelled.
    pub is_long_running: bool,
    /// Indexes of earlier steps whose tasks must all be done before this step starts.
    pub after: Vec<u16>,
}

/// The steps of a job, in the order of [`JobSpec::steps`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shape(pub Vec<StepShape>);

impl Shape {
    /// Estimated work on the longest chain of steps, in milliseconds.
    pub fn longest_chain_ms(&self) -> u64 {
        let steps = self.0.iter().map(|s| (s.estimate_ms, &s.after[..]));
        chains_ms(steps).into_iter().max().unwrap_or_default()
    }
}

impl From<&Step> for StepShape {
    fn from(step: &Step) -> Self {
        Self {
            count: step.count,
            estimate_ms: step.estimate_ms,
            is_long_running: step.is_long_running,
            after: step.after.clone(),
        }
    }
}

impl From<&JobSpec> for Shape {
    fn from(spec: &JobSpec) -> Self {
        Self(spec.steps.iter().map(StepShape::from).collect())
    }
}

impl fmt::Display for StepShape {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}x{}", self.count, self.estimate_ms)?;
        if self.is_long_running {
            f.write_str("+")?;
        }
        for (at, before) in self.after.iter().enumerate() {
            let separator = if at == 0 { '@' } else { ',' };
            write!(f, "{separator}{before}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Shape {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, step) in self.0.iter().enumerate() {
            if at > 0 {
                f.write_str(" ")?;
            }
            write!(f, "{step}")?;
        }
        Ok(())
    }
}

/// Text that can't be parsed as a [`Shape`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidShape;

impl fmt::Display for InvalidShape {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a job's shape is a list of steps such as `8x2700 4x900@0`")
    }
}

impl std::error::Error for InvalidShape {}

impl FromStr for StepShape {
    type Err = InvalidShape;

    fn from_str(raw: &str) -> Result<Self, InvalidShape> {
        let (head, after) = match raw.split_once('@') {
            Some((head, after)) => (head, after.split(',').collect()),
            None => (raw, Vec::new()),
        };
        let (count, estimate) = head.split_once('x').ok_or(InvalidShape)?;
        let long_running = estimate.strip_suffix('+');
        let after = after.into_iter().map(|n: &str| n.parse());
        Ok(Self {
            count: count.parse().map_err(|_| InvalidShape)?,
            estimate_ms: long_running
                .unwrap_or(estimate)
                .parse()
                .map_err(|_| InvalidShape)?,
            is_long_running: long_running.is_some(),
            after: after.collect::<Result<_, _>>().map_err(|_| InvalidShape)?,
        })
    }
}

impl FromStr for Shape {
    type Err = InvalidShape;

    fn from_str(raw: &str) -> Result<Self, InvalidShape> {
        let steps = raw.split_whitespace().map(StepShape::from_str);
        Ok(Self(steps.collect::<Result<_, _>>()?))
    }
}
