//! Reading a process's processor time and memory.

use eyre::{Result, eyre};
use std::{fs, time::Duration};

/// Clock ticks a second in `/proc/PID/stat`; Linux shows 100 to user space on every machine.
const TICKS_PER_SECOND: f64 = 100.0;
/// Fields of `/proc/PID/stat` before the processor times, counted after the command's name.
const FIELDS_BEFORE_UTIME: usize = 11;

/// A process's use of its host so far.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessUse {
    /// Processor time of the process, user and system.
    pub cpu: Duration,
    /// Resident memory in kilobytes.
    pub resident_kb: u64,
    /// Most resident memory so far, in kilobytes.
    pub peak_kb: u64,
}

/// Reads a process's use.
pub fn process_use(id: u32) -> Result<ProcessUse> {
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
    Ok(ProcessUse {
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
