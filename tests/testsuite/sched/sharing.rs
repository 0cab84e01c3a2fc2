//! Callers that compete for too little capacity: which jobs are refused, and whose steps go first.
//!
//! The load is played on the real decisions without a network: callers submit jobs of two steps, a
//! queue of the real ranks feeds a fixed number of slots, and refused callers return when told to.

mod admission;
mod cluster;
mod fair_share;

use indexmap::IndexMap;
use lapisdrum::{
    core::time::Millis,
    policy::dispatch::{
        admission::{Admission, Kind, NewJob, PassOutcome, WaitingWork},
        duration::DurationEstimates,
        fair_share::{Caller, Claim, FairShare, Weights},
        order::RankInputs,
        place::Load,
    },
};
use rand::{SeedableRng, rngs::StdRng};
use std::{collections::BTreeSet, rc::Rc};

/// Tasks that can run at the same time.
const SLOTS: usize = 400;
/// Tasks of each of a job's two steps.
const TASKS_PER_STEP: usize = 10;
/// Declared duration of a task; it takes up to 0.8 s longer.
const TASK_MS: u64 = 1_000;
/// Time within which a job is on time.
const OBJECTIVE_MS: u64 = 5_000;
/// Time from which it is worth nothing.
const WORTHLESS_MS: u64 = 3 * OBJECTIVE_MS;
/// Resolution of the simulation.
const TICK_MS: u64 = 10;
/// Time between two dispatch passes.
const PASS_MS: u64 = 50;
/// Number of times that a caller repeats a refused submission.
const RETRIES: u32 = 4;
/// Jobs a second that the slots can run, at 1.4 s a task on average.
const CAPACITY_PER_S: f64 = SLOTS as f64 / (2.0 * TASKS_PER_STEP as f64 * 1.4);

/// Jobs that one caller submits.
struct Source {
    queue: &'static str,
    priority: u32,
    /// Jobs a second at a time in milliseconds.
    rate: fn(u64) -> f64,
}

/// Which decisions are made.
#[derive(Clone, Copy, Default)]
struct Switches {
    admission: bool,
    fair_share: bool,
}

#[derive(Clone)]
struct SimJob {
    caller: usize,
    first_sent_ms: u64,
    accepted_ms: Option<u64>,
    /// Age at acceptance, if it was refused before.
    age_ms: u64,
    refusals: u32,
    waiting: [usize; 2],
    unfinished: [usize; 2],
    started_ms: Option<u64>,
    done_ms: Option<u64>,
}

impl SimJob {
    fn took_ms(&self) -> Option<u64> {
        Some(self.done_ms? - self.first_sent_ms)
    }

    fn is_on_time(&self) -> bool {
        self.took_ms().is_some_and(|took| took <= OBJECTIVE_MS)
    }

    /// 1 for a job on time, 0.15 for a late one of some worth.
    fn worth(&self) -> f64 {
        match self.took_ms() {
            Some(took) if took <= OBJECTIVE_MS => 1.0,
            Some(took) if took <= WORTHLESS_MS => 0.15,
            _ => 0.0,
        }
    }
}

/// What came of the jobs.
struct Outcome {
    jobs: Vec<SimJob>,
    /// Time, job and Retry-After time of each refusal, in milliseconds.
    refusals: Vec<(u64, usize, u64)>,
}

impl Outcome {
    fn of(&self, caller: usize) -> impl Iterator<Item = &SimJob> {
        self.jobs.iter().filter(move |job| job.caller == caller)
    }

    fn on_time_share(&self, caller: usize) -> f64 {
        let on_time = self.of(caller).filter(|job| job.is_on_time()).count();
        on_time as f64 / self.of(caller).count() as f64
    }

    fn worth(&self) -> f64 {
        self.jobs.iter().map(SimJob::worth).sum()
    }

    fn refused(&self) -> impl Iterator<Item = usize> {
        let jobs = self.jobs.iter().enumerate();
        jobs.filter(|(_, job)| job.refusals > 0).map(|(at, _)| at)
    }
}

fn caller(queue: &str) -> Rc<Caller> {
    Rc::new(Caller {
        queue: queue.to_owned(),
        data_centre: None,
    })
}

fn kind() -> Kind {
    Kind {
        pool: "pool".to_owned(),
        load: Load::Reserving,
    }
}

/// Plays the sources for this time, and half a minute more for what waits.
fn play(sources: &[Source], for_ms: u64, switches: Switches, weights: &Weights) -> Outcome {
    let shares = switches.fair_share.then_some(weights);
    let callers: Vec<Rc<Caller>> = sources.iter().map(|source| caller(source.queue)).collect();
    let mut rng = StdRng::seed_from_u64(7);
    let mut durations = DurationEstimates::default();
    let (mut admission, mut fair_share) = (Admission::default(), FairShare::default());
    let (mut jobs, mut refusals): (Vec<SimJob>, Vec<_>) = (Vec::new(), Vec::new());
    let mut due: BTreeSet<(u64, usize)> = BTreeSet::new();
    let mut running: BTreeSet<(u64, usize, usize, usize)> = BTreeSet::new();
    let mut credit = vec![0.0; sources.len()];
    let work_of = |tasks: usize| tasks as u64 * 1_000 * TASK_MS;
    for now_ms in (0..for_ms + 30_000).step_by(TICK_MS as usize) {
        let now = Millis(now_ms);
        while running.first().is_some_and(|(end, ..)| *end <= now_ms) {
            let (_, job, step, _) = running.pop_first().expect("a task is running");
            jobs[job].unfinished[step] -= 1;
            if jobs[job].unfinished == [0, 0] {
                jobs[job].done_ms = Some(now_ms);
                let started_ms = jobs[job].started_ms.expect("a job that ended was started");
                let queue = sources[jobs[job].caller].queue;
                durations.note(queue, 2 * TASK_MS, now_ms - started_ms);
            }
        }
        for (caller, source) in sources.iter().enumerate() {
            credit[caller] += (source.rate)(now_ms) * TICK_MS as f64 / 1_000.0;
            while now_ms < for_ms && credit[caller] >= 1.0 {
                credit[caller] -= 1.0;
                due.insert((now_ms, jobs.len()));
                jobs.push(SimJob {
                    caller,
                    first_sent_ms: now_ms,
                    accepted_ms: None,
                    age_ms: 0,
                    refusals: 0,
                    waiting: [TASKS_PER_STEP; 2],
                    unfinished: [TASKS_PER_STEP; 2],
                    started_ms: None,
                    done_ms: None,
                });
            }
        }
        while due.first().is_some_and(|(at, _)| *at <= now_ms) {
            let (_, at) = due.pop_first().expect("a submission is due");
            let source = &sources[jobs[at].caller];
            let new = NewJob {
                id: at as u64,
                caller: Rc::clone(&callers[jobs[at].caller]),
                inputs: RankInputs {
                    priority: source.priority,
                    is_long_running: false,
                    is_interrupted: false,
                    age_ms: 0,
                    objective_ms: OBJECTIVE_MS,
                    chain_ms: durations.expected_ms(source.queue, 2 * TASK_MS),
                    is_in_progress: false,
                },
                first_kinds: vec![kind()],
                work: work_of(2 * TASKS_PER_STEP),
            };
            let refusal = switches
                .admission
                .then(|| admission.decide(&new, shares, now, &mut rng))
                .flatten();
            match refusal {
                None => {
                    jobs[at].accepted_ms = Some(now_ms);
                    jobs[at].age_ms = admission.accept(at as u64, now).as_millis() as u64;
                }
                Some(refusal) => {
                    let retry_after_ms = refusal.retry_after.as_millis() as u64;
                    refusals.push((now_ms, at, retry_after_ms));
                    jobs[at].refusals += 1;
                    if jobs[at].refusals <= RETRIES {
                        due.insert((now_ms + retry_after_ms, at));
                    }
                }
            }
        }
        if !now_ms.is_multiple_of(PASS_MS) {
            continue;
        }
        let claim_of = |(at, job): (usize, &SimJob)| {
            let accepted_ms = job.accepted_ms?;
            let step = usize::from(job.unfinished[0] == 0);
            let source = &sources[job.caller];
            let inputs = RankInputs {
                priority: source.priority,
                is_long_running: false,
                is_interrupted: false,
                age_ms: now_ms - accepted_ms + job.age_ms,
                objective_ms: OBJECTIVE_MS,
                chain_ms: durations.expected_ms(source.queue, TASK_MS * (2 - step as u64)),
                is_in_progress: job.started_ms.is_some(),
            };
            let claim = Claim {
                rank: inputs.rank(),
                caller: Rc::clone(&callers[job.caller]),
                work: work_of(job.waiting[step]),
                later_work: work_of(job.waiting[step + 1..].iter().sum()),
            };
            (job.waiting[step] > 0).then_some((claim, at, step))
        };
        let mut ranked: Vec<_> = jobs.iter().enumerate().filter_map(claim_of).collect();
        ranked.sort_by_key(|(claim, ..)| claim.rank);
        let claims: Vec<Claim> = ranked.iter().map(|(claim, ..)| claim.clone()).collect();
        let order = match switches.fair_share {
            true => fair_share.order(&claims, weights, now),
            false => (0..claims.len()).collect(),
        };
        let (mut outcome, mut placed_of) = (PassOutcome::default(), vec![0; claims.len()]);
        for nth in order {
            let (claim, at, step) = &ranked[nth];
            while jobs[*at].waiting[*step] > 0 && running.len() < SLOTS {
                jobs[*at].waiting[*step] -= 1;
                jobs[*at].started_ms.get_or_insert(now_ms);
                let index = jobs[*at].waiting[*step];
                let takes_ms = TASK_MS + 200 * (index as u64 % 5);
                running.insert((now_ms + takes_ms, *at, *step, index));
                placed_of[nth] += work_of(1);
            }
            outcome.placed += placed_of[nth];
            let left = work_of(jobs[*at].waiting.iter().sum());
            outcome
                .waiting
                .extend((jobs[*at].waiting[*step] > 0).then_some(WaitingWork {
                    caller: Rc::clone(&claim.caller),
                    rank: claim.rank,
                    work: left,
                }));
        }
        if !outcome.waiting.is_empty() {
            for (claim, placed) in claims.iter().zip(&placed_of) {
                fair_share.charge(&claim.caller, *placed, weights);
            }
        }
        let is_left = |(claim, placed): &(&Claim, &u64)| claim.work > **placed;
        let left = claims.iter().zip(&placed_of).filter(is_left);
        fair_share.note_waiting(left.map(|(claim, _)| &*claim.caller));
        admission.note_pass(IndexMap::from([(kind(), outcome)]), now);
    }
    Outcome { jobs, refusals }
}
