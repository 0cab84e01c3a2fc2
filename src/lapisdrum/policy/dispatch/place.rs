//! Which worker a task goes to.
//!
//! Load pattern: tasks of three kinds on the same hosts. *Reserving* tasks take their processors and
//! memory out of the host's; *serving* ones do too and must keep their users' latency tail under a
//! target; *left-over* ones take memory, and the processors that the others leave. A left-over task
//! presses on serving ones beside it by amounts that differ by image and change within seconds, and its
//! effect is seen half a second late. So the two are kept on hosts of their own: a serving task goes
//! beside left-over ones only where there is no other host, and those are then moved away.
//!
//! Hosts are filled from the fullest that still fits, so that wide tasks find room, but for left-over
//! tasks, which go where most processors are unused: they run as fast as what they find.

use crate::core::size::Size;

/// What kind of load a task is for its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Load {
    /// Takes processors and memory for itself.
    Reserving,
    /// Like [`Load::Reserving`], with a latency tail to keep.
    Serving,
    /// Takes memory, and the processors that are left.
    Leftover,
}

/// A task to place.
#[derive(Clone, Copy, Debug)]
pub struct Need<'a> {
    /// What it takes.
    pub size: Size,
    /// Its kind.
    pub load: Load,
    /// A label that its worker must have.
    pub required_label: Option<&'a str>,
    /// The rack where its data is.
    pub data_rack: Option<&'a str>,
    /// Most tasks of its step on one worker.
    pub max_per_worker: Option<u32>,
}

/// A worker that may take tasks.
#[derive(Clone, Debug)]
pub struct Host<'a> {
    /// Its id.
    pub id: &'a str,
    /// Its rack.
    pub rack: Option<&'a str>,
    /// Its labels.
    pub labels: &'a [String],
    /// What it has.
    pub capacity: Size,
    /// What is taken for good: processors of left-over tasks are not in it, their memory is.
    pub reserved: Size,
    /// Processors of its left-over tasks, in thousandths.
    pub leftover_millicores: u64,
    /// Serving tasks on it.
    pub serving: u32,
    /// Left-over tasks on it.
    pub leftover: u32,
    /// Tasks on it of the step that is being placed.
    pub of_step: u32,
    /// Whether tasks have failed or stalled on it lately.
    pub is_suspect: bool,
    /// Whether this very task has failed on it.
    pub is_avoided: bool,
}

impl Host<'_> {
    /// What is free of its capacity.
    pub fn free(&self) -> Size {
        self.capacity.minus(&self.reserved)
    }

    /// Processors that nobody uses, in thousandths.
    fn unused_millicores(&self) -> u64 {
        let used = self.reserved.millicores + self.leftover_millicores;
        self.capacity.millicores.saturating_sub(used)
    }

    /// Takes a task of this kind and size.
    pub fn take(&mut self, size: &Size, load: Load) {
        self.reserved = self.reserved.plus(&reserved_by(size, load));
        match load {
            Load::Reserving => {}
            Load::Serving => self.serving += 1,
            Load::Leftover => {
                self.leftover += 1;
                self.leftover_millicores += size.millicores;
            }
        }
    }
}

/// What a task of this size and kind takes of its host for good.
pub fn reserved_by(size: &Size, load: Load) -> Size {
    let millicores = match load {
        Load::Reserving | Load::Serving => size.millicores,
        Load::Leftover => 0,
    };
    Size {
        millicores,
        ..*size
    }
}

/// Whether the host may take the task at all.
pub fn admits(need: &Need, host: &Host) -> bool {
    let has = |label: &str| host.labels.iter().any(|have| have == label);
    let is_room = reserved_by(&need.size, need.load).fits(&host.free());
    let is_enough = need.load != Load::Leftover || need.size.millicores <= host.unused_millicores();
    let is_apart = need.load != Load::Leftover || host.serving == 0;
    is_room
        && is_enough
        && is_apart
        && need.required_label.is_none_or(has)
        && need.max_per_worker.is_none_or(|most| host.of_step < most)
}

/// How well a host suits a task: the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Fit {
    is_avoided: bool,
    is_suspect: bool,
    is_far: bool,
    is_disturbing: bool,
    squeezes: bool,
    spare_millicores: u64,
}

fn fit(need: &Need, host: &Host) -> Fit {
    let free = host.free().millicores;
    let unused = host.unused_millicores();
    let spare = unused.saturating_sub(need.size.millicores);
    Fit {
        is_avoided: host.is_avoided,
        is_suspect: host.is_suspect,
        is_far: need.data_rack.is_some() && need.data_rack != host.rack,
        is_disturbing: need.load == Load::Serving && host.leftover > 0,
        squeezes: unused < need.size.millicores,
        spare_millicores: match need.load {
            Load::Leftover => u64::MAX - spare,
            Load::Reserving => spare,
            Load::Serving => free.saturating_sub(need.size.millicores),
        },
    }
}

/// The best host for a task, by its place in `hosts`; none when no host admits it.
pub fn choose(need: &Need, hosts: &[Host]) -> Option<usize> {
    let admitted = hosts.iter().enumerate().filter(|(_, h)| admits(need, h));
    let best = admitted.min_by_key(|(_, host)| fit(need, host));
    best.map(|(at, _)| at)
}
