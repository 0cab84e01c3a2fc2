//! The ledger of a shard: which events are valid, and the state that results from them.

use super::world::{step, terms};
use assert_matches::assert_matches;
use lapisdrum::sched::{
    event::{Event, Loss, RunEnd, RunId, WorkerIncarnation},
    job::{Gang, InvalidJob, JobId, JobSpec, RawJob, RunNumber, Schedule, Step, TaskId},
    layout::ShardId,
    ledger::{InvalidEvent, Ledger, Phase},
};
use proptest::prelude::*;
use std::rc::Rc;

fn spec(steps: Vec<Step>) -> Rc<JobSpec> {
    let raw = RawJob {
        payload: "work".to_owned(),
        steps,
        schedule: None,
    };
    Rc::new(JobSpec::try_from(raw).expect("a valid job"))
}

fn with_job(spec: Rc<JobSpec>) -> Ledger {
    let mut ledger = Ledger::default();
    let accepted = Event::Accepted {
        job: JobId(1),
        spec,
        terms: terms(),
        at_unix_ms: 1_000,
        data_centre: None,
        moved_from: None,
    };
    ledger.apply(&accepted).expect("a new job is valid");
    assert_eq!(ledger.apply(&accepted), Err(InvalidEvent::Job(JobId(1))));
    ledger
}

fn run(step: u16, index: u32, run: u32) -> RunId {
    RunId {
        task: TaskId {
            job: JobId(1),
            occurrence: 0,
            step,
            index,
        },
        run: RunNumber(run),
    }
}

fn placed(run: RunId) -> Event {
    Event::Placed {
        run,
        on: WorkerIncarnation {
            worker: "w0".to_owned(),
            started_unix_ms: 1,
        },
    }
}

fn ended(run: RunId, how: RunEnd) -> Event {
    Event::Ended {
        run,
        how,
        checkpoint: None,
        at_unix_ms: 2_000,
    }
}

#[test]
fn a_step_waits_for_the_ones_before_it() {
    let mut ledger = with_job(spec(vec![step(1, 10, &[]), step(1, 10, &[0])]));
    let early = ledger.apply(&placed(run(1, 0, 1)));
    assert_eq!(early, Err(InvalidEvent::Task(run(1, 0, 1).task)));
    ledger
        .apply(&placed(run(0, 0, 1)))
        .expect("the first step may start");
    ledger
        .apply(&ended(run(0, 0, 1), RunEnd::Done))
        .expect("the run was live");
    ledger
        .apply(&placed(run(1, 0, 1)))
        .expect("the step before has ended");
    ledger
        .apply(&ended(run(1, 0, 1), RunEnd::Done))
        .expect("the run was live");
    assert_eq!(ledger.jobs[&JobId(1)].phase, Phase::Completed);
}

#[test]
fn a_task_has_one_live_run_and_rising_numbers() {
    let mut ledger = with_job(spec(vec![step(1, 10, &[])]));
    ledger.apply(&placed(run(0, 0, 1))).expect("the first run");
    assert_matches!(
        ledger.apply(&placed(run(0, 0, 2))),
        Err(InvalidEvent::Run(_))
    );
    let lost = Event::Lost {
        run: run(0, 0, 1),
        why: Loss::Lapsed,
        is_unstarted: false,
    };
    ledger.apply(&lost).expect("the run was live");
    assert_matches!(
        ledger.apply(&placed(run(0, 0, 1))),
        Err(InvalidEvent::Run(_))
    );
    ledger
        .apply(&placed(run(0, 0, 2)))
        .expect("a greater number");
    ledger
        .apply(&ended(run(0, 0, 2), RunEnd::Done))
        .expect("the run was live");
    assert_matches!(ledger.apply(&placed(run(0, 0, 3))), Err(_));
}

#[test]
fn a_job_fails_after_the_attempts_of_its_queue() {
    let mut ledger = with_job(spec(vec![step(1, 10, &[])]));
    for number in 1..=2 {
        assert_eq!(ledger.jobs[&JobId(1)].phase, Phase::Active);
        ledger
            .apply(&placed(run(0, 0, number)))
            .expect("an attempt is left");
        ledger
            .apply(&ended(run(0, 0, number), RunEnd::Failed))
            .expect("the run was live");
    }
    assert_eq!(ledger.jobs[&JobId(1)].phase, Phase::Failed);
}

#[test]
fn a_gang_is_completed_by_its_first_member() {
    let gang = Step {
        gang: Gang::AnyRack,
        ..step(3, 10, &[])
    };
    let mut ledger = with_job(spec(vec![gang]));
    for index in 0..3 {
        ledger
            .apply(&placed(run(0, index, 1)))
            .expect("all are placed");
    }
    ledger
        .apply(&ended(run(0, 1, 1), RunEnd::Done))
        .expect("the run was live");
    assert_eq!(ledger.jobs[&JobId(1)].phase, Phase::Completed);
}

/// A gang of three in its first run. The queue allows two attempts.
fn with_placed_gang() -> Ledger {
    let gang = Step {
        gang: Gang::AnyRack,
        ..step(3, 10, &[])
    };
    let mut ledger = with_job(spec(vec![gang]));
    place_gang(&mut ledger, 1);
    ledger
}

fn place_gang(ledger: &mut Ledger, number: u32) {
    for index in 0..3 {
        ledger
            .apply(&placed(run(0, index, number)))
            .expect("all are placed");
    }
}

/// Records and applies the ends of a gang's members; returns how they were recorded.
fn end_gang(ledger: &mut Ledger, number: u32, ends: [(u32, RunEnd); 3]) -> Vec<RunEnd> {
    let mut record = |(index, how)| {
        let event = ledger.recorded(ended(run(0, index, number), how));
        ledger.apply(&event).expect("the run was live");
        match event {
            Event::Ended { how, .. } => how,
            other => panic!("{other:?}"),
        }
    };
    ends.into_iter().map(&mut record).collect()
}

/// Guards against a run of a gang that counts as several failures, whichever member ends first.
#[test]
fn a_run_of_a_gang_is_recorded_as_failed_once() {
    use RunEnd::{Failed, GangBroken, GangIncomplete};
    let mut ledger = with_placed_gang();
    let recorded = end_gang(&mut ledger, 1, [(2, Failed), (0, Failed), (1, Failed)]);
    assert_eq!(recorded, [Failed, GangBroken, GangBroken]);
    assert_eq!(ledger.jobs[&JobId(1)].phase, Phase::Active);
    place_gang(&mut ledger, 2);
    let ends = [(0, GangBroken), (1, GangIncomplete), (2, Failed)];
    assert_eq!(end_gang(&mut ledger, 2, ends), ends.map(|(_, how)| how));
    assert_eq!(ledger.jobs[&JobId(1)].phase, Phase::Failed);
}

/// Guards against a gang whose members that were broken, or did not all start, count as failed.
#[test]
fn a_gang_that_was_broken_or_incomplete_has_not_failed() {
    use RunEnd::{GangBroken, GangIncomplete, Lapsed};
    let mut ledger = with_placed_gang();
    for number in 1..=4 {
        let ends = [(0, GangIncomplete), (1, GangBroken), (2, Lapsed)];
        assert_eq!(
            end_gang(&mut ledger, number, ends),
            ends.map(|(_, how)| how)
        );
        place_gang(&mut ledger, number + 1);
    }
    assert_eq!(ledger.jobs[&JobId(1)].phase, Phase::Active);
}

/// Guards against failures of tasks without a gang that are taken for those of another task.
#[test]
fn tasks_without_a_gang_fail_one_by_one() {
    let mut ledger = with_job(spec(vec![step(2, 10, &[])]));
    for index in 0..2 {
        ledger
            .apply(&placed(run(0, index, 1)))
            .expect("a first run");
        let end = ended(run(0, index, 1), RunEnd::Failed);
        assert_eq!(ledger.recorded(end.clone()), end);
        ledger.apply(&end).expect("the run was live");
    }
}

/// Guards against journals of earlier versions that can't be read: these counted and recorded each member that failed,
/// and dropped the job in the end.
#[test]
fn a_gang_that_an_earlier_version_recorded_as_failed_has_failed() {
    let mut ledger = with_placed_gang();
    for index in 0..2 {
        ledger
            .apply(&ended(run(0, index, 1), RunEnd::Failed))
            .expect("the run was live");
    }
    let forgotten = Event::Forgotten { job: JobId(1) };
    assert_eq!(ledger.apply(&forgotten), Ok(()));
}

/// Guards against snapshots of earlier versions that can't be read: the first ones have no `last_failed_run`, later ones
/// have every field of every task.
#[test]
fn tasks_of_earlier_versions_are_read() {
    let ledger = with_placed_gang();
    let without = serde_json::to_string(&ledger).expect("a serialisable ledger");
    assert!(!without.contains("last_failed_run"), "{without}");
    let fields = r#""failures":0,"last_failed_run":0,"checkpoint":null,"elsewhere":null"#;
    let with = without.replace("\"failures\":0", fields);
    assert!(with.len() > without.len(), "{with}");
    for earlier in [without, with] {
        let read: Ledger = serde_json::from_str(&earlier).expect("a ledger of an earlier version");
        assert_eq!(read, ledger);
    }
}

#[test]
fn a_long_running_task_is_never_done() {
    let long_running = Step {
        is_long_running: true,
        ..step(1, 0, &[])
    };
    let mut ledger = with_job(spec(vec![long_running]));
    for number in 1..=5 {
        ledger
            .apply(&placed(run(0, 0, number)))
            .expect("it starts again");
        let how = if number % 2 == 0 {
            RunEnd::Done
        } else {
            RunEnd::Failed
        };
        ledger
            .apply(&ended(run(0, 0, number), how))
            .expect("the run was live");
    }
    assert_eq!(ledger.jobs[&JobId(1)].phase, Phase::Active);
}

#[test]
fn raw_jobs_are_checked() {
    let check = |steps: Vec<Step>| {
        JobSpec::try_from(RawJob {
            payload: String::new(),
            steps,
            schedule: None,
        })
    };
    assert_eq!(check(vec![]), Err(InvalidJob::Steps(0)));
    assert_matches!(
        check(vec![step(0, 1, &[])]),
        Err(InvalidJob::Tasks { step: 0, count: 0 })
    );
    assert_matches!(
        check(vec![step(1, 1, &[0])]),
        Err(InvalidJob::After { step: 0, names: 0 })
    );
    assert_matches!(
        check(vec![step(1, 1, &[]), step(1, 1, &[3])]),
        Err(InvalidJob::After { .. })
    );
}

/// Guards against enumerating all chains of a graph while a caller waits: thirty steps, each after all earlier ones,
/// have too many.
#[test]
fn the_longest_chain_of_a_dense_graph_is_found_quickly() {
    let steps = (0..30_u16).map(|at| step(1, 10, &(0..at).collect::<Vec<_>>()));
    assert_eq!(spec(steps.collect()).longest_chain_ms(), 300);
}

#[test]
fn occurrences_fall_due_one_interval_after_the_other() {
    let raw = RawJob {
        payload: String::new(),
        steps: vec![step(1, 10, &[])],
        schedule: Some(Schedule {
            first_unix_ms: 5_000,
            interval_ms: 2_000,
            times: 3,
        }),
    };
    let spec = JobSpec::try_from(raw).expect("a valid job");
    assert_eq!(spec.occurrences(), 3);
    assert_eq!(spec.due_unix_ms(2), Some(9_000));
}

fn long_running() -> Rc<JobSpec> {
    spec(vec![Step {
        is_long_running: true,
        ..step(1, 0, &[])
    }])
}

/// A shard that adopted a task whose last run has this number.
fn with_guest(last_run: u32) -> Ledger {
    let mut ledger = Ledger::default();
    ledger.apply(&adopted(last_run)).expect("it is new");
    ledger
}

fn adopted(last_run: u32) -> Event {
    Event::Adopted {
        job: JobId(1),
        spec: long_running(),
        terms: terms(),
        from: ShardId(0),
        tasks: vec![(run(0, 0, 1).task, RunNumber(last_run))],
        at_unix_ms: 1_000,
    }
}

fn returned(last_run: u32) -> Event {
    Event::Returned {
        task: run(0, 0, 1).task,
        to: ShardId(0),
        last_run: RunNumber(last_run),
    }
}

/// Guards against a returned task that two shards run: a late delegation revives it in the shard that returned it.
#[test]
fn a_returned_task_is_adopted_by_a_later_delegation_only() {
    let task = run(0, 0, 1).task;
    let mut ledger = with_guest(1);
    ledger.apply(&returned(2)).expect("it has no live run");
    ledger.apply(&adopted(1)).expect("a late call is valid");
    assert_eq!(
        ledger.task(&task).expect("the task").elsewhere,
        Some(ShardId(0))
    );
    assert_matches!(ledger.apply(&placed(run(0, 0, 3))), Err(_));
    ledger.apply(&adopted(2)).expect("a later delegation");
    ledger
        .apply(&placed(run(0, 0, 3)))
        .expect("it is here again");
}

/// Guards against a task that two shards run: it is returned while a run of it may be alive.
#[test]
fn a_task_with_a_live_run_is_not_returned() {
    let mut ledger = with_guest(1);
    ledger
        .apply(&placed(run(0, 0, 2)))
        .expect("a greater number");
    assert_matches!(ledger.apply(&returned(3)), Err(InvalidEvent::Task(_)));
}

/// Guards against a return without a number of its own, which a repeated call shares with the next delegation.
#[test]
fn a_return_uses_up_a_number() {
    let mut ledger = with_guest(1);
    assert_matches!(ledger.apply(&returned(1)), Err(InvalidEvent::Task(_)));
    ledger.apply(&returned(2)).expect("a greater number");
}

/// A long-running job with three occurrences of two tasks each.
fn three_times() -> Rc<JobSpec> {
    let raw = RawJob {
        payload: "work".to_owned(),
        steps: vec![Step {
            is_long_running: true,
            ..step(2, 0, &[])
        }],
        schedule: Some(Schedule {
            first_unix_ms: 0,
            interval_ms: 1,
            times: 3,
        }),
    };
    Rc::new(JobSpec::try_from(raw).expect("a valid job"))
}

fn run_of(occurrence: u32, index: u32, number: u32) -> RunId {
    let mut run = run(0, index, number);
    run.task.occurrence = occurrence;
    run
}

/// The adoption of one task of a later occurrence that has run three times.
fn adopted_later() -> Event {
    Event::Adopted {
        job: JobId(1),
        spec: three_times(),
        terms: terms(),
        from: ShardId(0),
        tasks: vec![(run_of(1, 0, 3).task, RunNumber(3))],
        at_unix_ms: 1_000,
    }
}

/// Guards against tasks that two shards run: a shard starts tasks of a job that it did not adopt.
#[test]
fn a_guest_has_the_adopted_tasks_only() {
    let mut ledger = Ledger::default();
    ledger.apply(&adopted_later()).expect("it is new");
    let read = serde_json::to_vec(&ledger).expect("a serialisable ledger");
    let read: Ledger = serde_json::from_slice(&read).expect("the ledger is parsed back");
    assert_eq!(read, ledger);
    for other in [run_of(0, 0, 9), run_of(1, 1, 9), run_of(2, 0, 9)] {
        assert_matches!(ledger.apply(&placed(other)), Err(_), "{other:?}");
    }
    let job = &ledger.jobs[&JobId(1)];
    assert_eq!(job.startable_occurrences(u64::MAX), [0, 1]);
    assert_matches!(ledger.apply(&placed(run_of(1, 0, 3))), Err(_));
    ledger
        .apply(&placed(run_of(1, 0, 4)))
        .expect("a greater number than in the shard before");
}

/// Applies rows as a recovery does.
fn replay(ledger: &mut Ledger, events: &[Event]) -> Result<(), InvalidEvent> {
    let mut events = events.iter();
    events.try_for_each(|event| {
        let applied = ledger.apply(event);
        applied.or_else(|why| ledger.apply_earlier(event, why))
    })
}

/// Guards against a shard that can't be recovered because of rows of an earlier version, which started tasks that it had
/// not adopted and numbered runs of later occurrences from one; against a run that is forgotten although it may be
/// alive; and against a task that no shard runs, since its return was without effect in the job's shard.
#[test]
fn rows_of_guests_of_an_earlier_version_are_replayed() {
    let runs = [run_of(1, 0, 1), run_of(1, 1, 1), run_of(2, 0, 1)];
    let lost = Event::Lost {
        run: runs[0],
        why: Loss::Lapsed,
        is_unstarted: false,
    };
    let returned = |task: TaskId| Event::Returned {
        task,
        to: ShardId(0),
        last_run: RunNumber(2),
    };
    let mut events = vec![adopted_later()];
    events.extend(runs.map(placed));
    events.extend([lost, returned(runs[0].task), returned(run_of(2, 1, 1).task)]);
    let mut ledger = Ledger::default();
    replay(&mut ledger, &events).expect("valid rows");
    let job = &ledger.jobs[&JobId(1)];
    let live: Vec<RunId> = job.live_runs(JobId(1)).map(|(run, _)| run).collect();
    assert_eq!(live, runs[1..]);
    let here = job.tasks(JobId(1));
    let here = here.filter(|(_, task)| task.elsewhere.is_none());
    let here: Vec<TaskId> = here.map(|(id, _)| id).collect();
    assert_eq!(here, [runs[0].task]);
    ledger
        .apply(&placed(run_of(1, 0, 4)))
        .expect("a greater number than in the shard before");
}

/// Guards against a replay that accepts whatever is in the journal.
#[test]
fn no_other_invalid_row_is_replayed() {
    let mut own = with_job(three_times());
    let again = [run_of(0, 0, 1), run_of(0, 0, 2)].map(placed);
    assert_matches!(replay(&mut own, &again), Err(InvalidEvent::Run(_)));
    let mut guest = with_guest(1);
    let again = [run(0, 0, 2), run(0, 0, 3)].map(placed);
    assert_matches!(replay(&mut guest, &again), Err(InvalidEvent::Run(_)));
}

/// Guards against an adopted task that never runs, since the guest, as an earlier version recorded it, waits for steps of
/// which it doesn't know that they are done; and against tasks of later occurrences, which that version took for its
/// own, that start before the steps they depend on.
#[test]
fn a_guest_of_an_earlier_version_starts_a_dependent_step_of_the_first_occurrence_only() {
    let mut spec = JobSpec::clone(&three_times());
    let dependent = Step {
        after: vec![0],
        ..spec.steps[0].clone()
    };
    spec.steps.push(dependent);
    let adopted = |task: TaskId| Event::Adopted {
        job: JobId(1),
        spec: Rc::new(spec.clone()),
        terms: terms(),
        from: ShardId(0),
        tasks: vec![(task, RunNumber(3))],
        at_unix_ms: 1_000,
    };
    let (first, later) = (run(1, 0, 4), run_of(1, 0, 4));
    let mut ledger = Ledger::default();
    ledger.apply(&adopted(first.task)).expect("it is new");
    ledger.apply(&adopted(later.task)).expect("a later one");
    ledger.apply(&placed(first)).expect("its turn has come");
    let job = ledger.jobs.get_mut(&JobId(1)).expect("the job");
    let steps = &mut job.occurrences.get_mut(&1).expect("the occurrence").steps;
    for task in steps.iter_mut().flat_map(|step| &mut step.tasks) {
        task.elsewhere = None;
    }
    let mut dependent = later;
    dependent.task.step = 1;
    assert_matches!(ledger.apply(&placed(dependent)), Err(_));
}

/// Any event of a run, valid or not.
fn any_event() -> impl Strategy<Value = Event> {
    let any_run =
        (0..2_u16, 0..2_u32, 1..5_u32).prop_map(|(step, index, number)| run(step, index, number));
    let any_end = prop_oneof![
        Just(RunEnd::Done),
        Just(RunEnd::Failed),
        Just(RunEnd::Stopped),
        Just(RunEnd::Lapsed)
    ];
    prop_oneof![
        4 => any_run.clone().prop_map(placed),
        3 => (any_run.clone(), any_end).prop_map(|(run, how)| ended(run, how)),
        2 => any_run.prop_map(|run| Event::Lost { run, why: Loss::NotThere, is_unstarted: false }),
        1 => (1..4_u64).prop_map(|job| Event::CancelledBeforeArrival { job: JobId(job), at_unix_ms: 2_000 }),
    ]
}

proptest! {
    /// For any sequence of events: a task never has two live runs, the counts of a step match its tasks, and a replay
    /// of the valid events gives the same state.
    #[test]
    fn any_events_keep_the_invariants(events in prop::collection::vec(any_event(), 0..60)) {
        let two_steps = spec(vec![step(2, 10, &[]), step(2, 10, &[0])]);
        let mut ledger = with_job(Rc::clone(&two_steps));
        let mut replayed = ledger.clone();
        for event in &events {
            let before = ledger.clone();
            match ledger.apply(event) {
                Ok(()) => replayed.apply(event).expect("the event is valid in the replay too"),
                Err(_) => prop_assert_eq!(&before.jobs[&JobId(1)].phase, &ledger.jobs[&JobId(1)].phase),
            }
            for occurrence in ledger.jobs[&JobId(1)].occurrences.values() {
                for step in &occurrence.steps {
                    let done = step.tasks.iter().filter(|t| t.is_done).count();
                    let running = step.tasks.iter().filter(|t| !t.is_done && !t.live.is_empty());
                    prop_assert_eq!(step.done as usize, done);
                    prop_assert_eq!(step.running as usize, running.count());
                    prop_assert!(step.tasks.iter().all(|t| t.live.len() <= 1));
                }
            }
        }
        prop_assert_eq!(&ledger, &replayed);
        let text = serde_json::to_vec(&ledger).expect("a serialisable ledger");
        let read: Ledger = serde_json::from_slice(&text).expect("the ledger is parsed back");
        prop_assert_eq!(read, ledger);
    }
}

/// Guards against rows of earlier versions that can't be read, or that make a started job one that waits.
#[test]
fn a_loss_without_evidence_of_a_start_reads_as_before() {
    let new = Event::Lost {
        run: run(0, 0, 1),
        why: Loss::Lapsed,
        is_unstarted: false,
    };
    let mut earlier = serde_json::to_value(&new).expect("a serialisable event");
    let fields = earlier
        .as_object_mut()
        .and_then(|event| event.values_mut().next());
    let fields = fields.and_then(|fields| fields.as_object_mut());
    let fields = fields.expect("the fields of the event");
    assert!(fields.remove("is_unstarted").is_some());
    let read: Event = serde_json::from_value(earlier).expect("an event of an earlier version");
    assert_eq!(read, new);
}

/// Guards against a job that counts as started because a run was placed that never started.
#[test]
fn a_job_has_started_once_a_run_has() {
    let has_started = |events: &[Event]| {
        let mut ledger = with_job(spec(vec![step(1, 10, &[])]));
        for event in events {
            ledger.apply(event).expect("a valid event");
        }
        ledger.jobs[&JobId(1)].has_started
    };
    let lost = |is_unstarted| Event::Lost {
        run: run(0, 0, 1),
        why: Loss::Lapsed,
        is_unstarted,
    };
    let first = || placed(run(0, 0, 1));
    assert!(!has_started(&[first()]));
    assert!(!has_started(&[first(), lost(true)]));
    assert!(has_started(&[first(), lost(false)]));
    assert!(has_started(&[first(), ended(run(0, 0, 1), RunEnd::Failed)]));
}

fn has_task_state(ledger: &Ledger) -> bool {
    !ledger.jobs[&JobId(1)].occurrences.is_empty()
}

/// Guards against snapshots that grow with the tasks of ended jobs, so that a take-over reads them for seconds while
/// the leases of all running tasks end.
#[test]
fn an_ended_job_keeps_no_task_state_once_its_runs_have_ended() {
    let mut ledger = with_job(spec(vec![step(2, 10, &[])]));
    for index in 0..2 {
        ledger.apply(&placed(run(0, index, 1))).expect("it is free");
    }
    let cancelled = Event::Cancelled {
        job: JobId(1),
        at_unix_ms: 2_000,
    };
    ledger.apply(&cancelled).expect("it is active");
    let stopped = |index| ended(run(0, index, 1), RunEnd::Stopped);
    ledger.apply(&stopped(0)).expect("the run was live");
    assert!(has_task_state(&ledger), "a run may be alive");
    ledger.apply(&stopped(1)).expect("the run was live");
    assert!(!has_task_state(&ledger));
}

/// Guards against a late report that revives the state of an ended job, or changes how it ended.
#[test]
fn late_reports_about_an_ended_job_change_nothing() {
    let mut ledger = with_job(spec(vec![step(1, 10, &[])]));
    ledger.apply(&placed(run(0, 0, 1))).expect("it is free");
    let done = ended(run(0, 0, 1), RunEnd::Done);
    ledger.apply(&done).expect("the run was live");
    assert!(!has_task_state(&ledger));
    let before = ledger.clone();
    let lost = Event::Lost {
        run: run(0, 0, 1),
        why: Loss::Lapsed,
        is_unstarted: false,
    };
    for late in [done, ended(run(0, 0, 1), RunEnd::Failed), lost] {
        ledger.apply(&late).expect("a repeat is valid");
        assert_eq!(ledger, before);
    }
}

/// Guards against an ended job that no longer knows which shard still has to learn its end.
#[test]
fn an_ended_job_keeps_the_tasks_in_other_shards() {
    let mut ledger = with_job(long_running());
    ledger.apply(&placed(run(0, 0, 1))).expect("it is free");
    let stopped = ended(run(0, 0, 1), RunEnd::Stopped);
    ledger.apply(&stopped).expect("the run was live");
    let delegated = Event::Delegated {
        task: run(0, 0, 1).task,
        to: ShardId(1),
    };
    ledger.apply(&delegated).expect("it is not running");
    let cancelled = Event::Cancelled {
        job: JobId(1),
        at_unix_ms: 2_000,
    };
    ledger.apply(&cancelled).expect("it is active");
    let delegated = ledger.jobs[&JobId(1)].delegated(JobId(1));
    assert_eq!(delegated[&ShardId(1)].len(), 1);
}
