//! Reads the processor time and memory of a process from `/proc`.

use eyre::{Result, eyre};
use std::{fs, time::Duration};

/// Clock ticks per second in `/proc/PID/stat`; Linux always reports 100 to user space.
const TICKS_PER_SECOND: f64 = 100.0;
/// Number of fields in `/proc/PID/stat` between the command name and the processor times.
const FIELDS_BEFORE_UTIME: usize = 11;

/// Resources that a process has used since its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessUsage {
    /// Processor time, user and system.
    pub cpu: Duration,
    /// Resident memory in kilobytes.
    pub resident_kb: u64,
    /// Peak resident memory, in kilobytes.
    pub peak_kb: u64,
}

/// Reads the resources used by the process with this id. A field of `/proc` that is missing or not a
/// number counts as zero.
pub fn process_usage(id: u32) -> Result<ProcessUsage> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    let fields = stat
        .rsplit_once(')')
        .ok_or_else(|| eyre!("unreadable /proc/{id}/stat"))?
        .1;
    let mut times = fields.split_whitespace().skip(FIELDS_BEFORE_UTIME);
    let mut ticks = || {
        times
            .next()
            .and_then(|field| field.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    let cpu = Duration::from_secs_f64((ticks() + ticks()) / TICKS_PER_SECOND);
    let status = fs::read_to_string(format!("/proc/{id}/status"))?;
    Ok(ProcessUsage {
        cpu,
        resident_kb: field(&status, "VmRSS:"),
        peak_kb: field(&status, "VmHWM:"),
    })
}

fn field(status: &str, name: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let number = line.and_then(|rest| rest.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}
