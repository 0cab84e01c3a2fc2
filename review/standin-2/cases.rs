//! The cases.

use crate::{
    json::{Json, map, num, text},
    record::Record,
    site::{Queue, Site, Unable, unix_ms},
    worker::Size,
};
use std::{
    collections::HashMap,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// What was broken; empty if the rule held.
type End = Result<Vec<String>, Unable>;

const RENDERS: Queue = Queue { name: "catalogue-render", prefix: "/renders/", priority: 2 };
const STREAMS: Queue = Queue { name: "studio-stream", prefix: "/streams/", priority: 0 };

/// Workers of the deployment: 32 cores and 125 GB.
const WORKER: Size = Size { cpu: 32_000, mem: 128_000, gpu: 0 };
/// Workers of the grown deployment that make two shards, and of one rack there.
const TWO_SHARDS: (usize, usize) = (144, 12);
/// Workers of the small deployment, and of one rack there.
const SMALL: (usize, usize) = (66, 8);
const ZONES: [&str; 4] = ["westlands", "karen", "kilimani", "parklands"];

pub fn run(case: &str, has_trouble: bool, record: &Arc<Record>) -> End {
    match case {
        "occurrences" => occurrences(has_trouble, record),
        "after" => after(has_trouble, record),
        "accelerators" => accelerators(has_trouble, record),
        "image" => image(has_trouble, record),
        "gang" => gang(has_trouble, record),
        _ => Err(format!("there is no case {case}")),
    }
}

/// So many workers in racks of this size; `change` may change a worker's kind and size by rack and place
/// there.
fn fleet(
    count: usize,
    per_rack: usize,
    change: impl Fn(usize, usize) -> (&'static str, Size),
) -> Vec<((String, String, &'static str, String), Size)> {
    let worker = |number: usize| {
        let (rack, at) = (number / per_rack, number % per_rack);
        let (kind, size) = change(rack, at);
        let names = (format!("w-{rack:02}-{at:02}"), format!("r1-{rack:02}"), kind, ZONES[rack % 4].to_owned());
        (names, size)
    };
    (0..count).map(worker).collect()
}

fn step(count: u64, size: Size, estimate_ms: u64, more: Vec<(&str, Json)>) -> Json {
    let mut fields = vec![
        ("count", num(count)),
        ("cpu", num(size.cpu)),
        ("memMb", num(size.mem)),
        ("estimateMs", num(estimate_ms)),
    ];
    if size.gpu > 0 {
        fields.push(("gpu", num(size.gpu)));
    }
    fields.extend(more);
    map(fields)
}

fn job(spec: &str, steps: Vec<Json>, more: Vec<(&str, Json)>) -> Json {
    let mut fields = vec![("spec", text(spec)), ("steps", Json::List(steps))];
    fields.extend(more);
    map(fields)
}

fn lasting() -> (&'static str, Json) {
    ("longRunning", Json::Bool(true))
}

fn id(number: u64) -> String {
    // Spread like the random ids of requesters.
    let mixed = (number + unix_ms()).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    format!("{:016x}", mixed ^ mixed >> 29)
}

/// Fills the racks that share a shard with `rack` with tasks that last, one for each worker that has
/// room; each job names the rack of its data.
fn fill_racks(site: &Site, rack: &str) -> Result<(), Unable> {
    let size = Size { cpu: 30_000, mem: 20_000, gpu: 0 };
    let racks = site.racks_like(rack);
    if racks.is_empty() {
        return Err(format!("rack {rack} has no shard"));
    }
    let busy: Vec<String> = site.runs.alive().into_iter().map(|log| log.worker).collect();
    let mut wanted = Vec::new();
    for (at, rack) in racks.iter().enumerate() {
        let free = site.workers.iter().filter(|w| w.rack == *rack && !busy.contains(&w.id)).count();
        let steps = vec![step(free as u64, size, 400, vec![lasting(), ("affinity", text(rack))])];
        let filler = id(1_000 + at as u64);
        site.submit(STREAMS.prefix, &filler, &job("lasts", steps, Vec::new()))?;
        wanted.push((filler, free));
    }
    let is_full = || wanted.iter().all(|(filler, free)| site.alive_of(filler).len() == *free);
    match site.until(Duration::from_secs(15), is_full) {
        true => Ok(()),
        false => Err("the racks are not filled within 15 s".to_owned()),
    }
}

/// TWICE: a job that lasts, due twice; the worker of its first time is lost while its part of the
/// deployment is full and another part is empty.
fn occurrences(has_trouble: bool, record: &Arc<Record>) -> End {
    let site = Site::start(Arc::clone(record), fleet(TWO_SHARDS.0, TWO_SHARDS.1, |_, _| ("a", WORKER)), &[STREAMS])?;
    let size = Size { cpu: 16_000, mem: 8_000, gpu: 0 };
    let stream = id(1);
    let times = vec![("times", num(2)), ("firstRunMs", num(unix_ms() + 500)), ("intervalMs", num(3_000))];
    let body = job("lasts", vec![step(2, size, 400, vec![lasting()])], times);
    site.submit(STREAMS.prefix, &stream, &body)?;
    if !site.until(Duration::from_secs(15), || site.alive_of(&stream).len() == 4) {
        return Err("the job's four tasks do not run within 15 s".to_owned());
    }
    let first: Vec<_> = site.alive_of(&stream).into_iter().filter(|log| log.task.contains(".0.0.")).collect();
    let worker = site.worker(&first[0].worker).ok_or("a worker")?;
    fill_racks(&site, &worker.rack)?;
    thread::sleep(Duration::from_secs(5));
    record.say(&format!("{} tasks of job {stream} run; {}% are in use", site.alive_of(&stream).len(), site.percent_in_use()));
    if has_trouble {
        worker.lose();
    }
    let (mut broken, from) = (Vec::new(), Instant::now());
    while from.elapsed() < Duration::from_secs(30) {
        for task in site.doubled() {
            let runs = site.runs.alive().into_iter().filter(|log| log.task == task);
            let runs: Vec<String> = runs.map(|log| format!("run {} on {} since {:.1}", log.run, log.worker, record.seconds(log.started_at))).collect();
            let line = format!("TWICE: task {task} has two runs at the same time: {}", runs.join(", "));
            if !broken.contains(&line) {
                record.line(&line);
                broken.push(line);
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    if let Some(line) = broken.first() {
        let task = line.split(' ').nth(2).unwrap_or_default().to_owned();
        let still = site.doubled().contains(&task);
        broken.push(format!("TWICE: at the end, 30 s after the worker was lost, it still has two: {still}"));
    }
    Ok(broken)
}

/// LOST: a step that lasts comes after a short one; its worker is lost while its part of the deployment
/// is full and another part is empty.
fn after(has_trouble: bool, record: &Arc<Record>) -> End {
    let site = Site::start(Arc::clone(record), fleet(TWO_SHARDS.0, TWO_SHARDS.1, |_, _| ("a", WORKER)), &[STREAMS])?;
    let (short, size) = (Size { cpu: 1_000, mem: 1_000, gpu: 0 }, Size { cpu: 16_000, mem: 8_000, gpu: 0 });
    let stream = id(1);
    let comes_after = ("after", Json::List(vec![num(0)]));
    let steps = vec![step(1, short, 600, Vec::new()), step(2, size, 400, vec![lasting(), comes_after])];
    site.submit(STREAMS.prefix, &stream, &job("600,lasts", steps, Vec::new()))?;
    let lasting_runs = || site.alive_of(&stream).into_iter().filter(|log| log.task.contains(".0.1.")).collect::<Vec<_>>();
    if !site.until(Duration::from_secs(15), || lasting_runs().len() == 2) {
        return Err("the tasks that last do not run within 15 s".to_owned());
    }
    let before = lasting_runs();
    let worker = site.worker(&before[0].worker).ok_or("a worker")?;
    fill_racks(&site, &worker.rack)?;
    thread::sleep(Duration::from_secs(5));
    record.say(&format!("{} tasks that last run; {}% are in use", lasting_runs().len(), site.percent_in_use()));
    let lost: Vec<String> = before.iter().filter(|log| log.worker == worker.id).map(|log| log.task.clone()).collect();
    let from = Instant::now();
    if has_trouble {
        worker.lose();
    }
    watch_lasting(&site, record, &lost, size, from)
}

/// Watches tasks that last for 45 s: from 6 s after the last run, and with the 4 s before calm, a task
/// may not be down for 3 s while there is room for it twice over.
fn watch_lasting(site: &Site, record: &Record, tasks: &[String], size: Size, from: Instant) -> End {
    let mut down_since: HashMap<&String, Instant> = HashMap::new();
    let mut worst: HashMap<&String, (Duration, u64, u64)> = HashMap::new();
    while from.elapsed() < Duration::from_secs(45) {
        let alive = site.runs.alive();
        let (room, in_use) = (site.room_for(size), site.percent_in_use());
        for task in tasks {
            let is_up = alive.iter().any(|log| log.task == *task);
            if is_up || room < 2 || from.elapsed() < Duration::from_secs(7) {
                down_since.remove(task);
                continue;
            }
            let down = down_since.entry(task).or_insert_with(Instant::now).elapsed();
            if worst.get(task).is_none_or(|(known, ..)| down > *known) {
                worst.insert(task, (down, room, in_use));
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    let mut broken = Vec::new();
    for (task, (down, room, in_use)) in worst {
        let line = format!("task {task}: not running for {:.1} s on end, later than 7 s after its last run, while there was room for {room} such tasks and {in_use}% were in use", down.as_secs_f64());
        record.line(&line);
        // Allowed are 3 s; it may take until 11 s after the last run.
        if down >= Duration::from_secs(4) {
            broken.push(format!("LOST: {line}"));
        }
    }
    Ok(broken)
}

/// Watches jobs without times for `span`: a job may not have nothing running for 3 s while its tasks'
/// turn has come, there is room for them twice over and under half is in use.
fn watch_waiting(site: &Site, prefix: &str, jobs: &[String], size: Size, span: Duration) -> Vec<(String, Duration, String)> {
    let from = Instant::now();
    let mut idle_since: HashMap<&String, Instant> = HashMap::new();
    let mut worst: HashMap<&String, Duration> = HashMap::new();
    while from.elapsed() < span {
        let (room, in_use) = (site.room_for(size), site.percent_in_use());
        let runs = site.runs.0.lock().unwrap().clone();
        for job in jobs {
            let of_job = || runs.iter().filter(|log| log.job() == job.as_str());
            let is_over = of_job().any(|log| log.ended.is_some_and(|(_, how)| how == "done"));
            let runs = of_job().any(|log| log.ended.is_none());
            if is_over || runs || room < 2 || in_use >= 50 {
                idle_since.remove(job);
                continue;
            }
            let idle = idle_since.entry(job).or_insert_with(Instant::now).elapsed();
            let known = worst.entry(job).or_default();
            *known = idle.max(*known);
        }
        thread::sleep(Duration::from_millis(50));
    }
    let late = worst.into_iter().filter(|(_, idle)| *idle >= Duration::from_secs(3));
    late.map(|(job, idle)| (job.clone(), idle, site.state(prefix, job).unwrap_or_default())).collect()
}

/// LOST: jobs ask for accelerators; one of the two racks that have some is lost for good.
fn accelerators(has_trouble: bool, record: &Arc<Record>) -> End {
    let with_gpu = Size { gpu: 2, ..WORKER };
    let change = |rack, at| if rack < 2 && at < 2 { ("g", with_gpu) } else { ("a", WORKER) };
    let site = Site::start(Arc::clone(record), fleet(TWO_SHARDS.0, TWO_SHARDS.1, change), &[RENDERS])?;
    if site.racks_like("r1-00").contains(&"r1-01".to_owned()) {
        return Err("both racks with accelerators are in one shard".to_owned());
    }
    let size = Size { cpu: 2_000, mem: 4_000, gpu: 1 };
    let render = || job("1000", vec![step(1, size, 1_000, Vec::new())], Vec::new());
    let submit = |from: u64| -> Result<Vec<String>, Unable> {
        let jobs: Vec<String> = (from..from + 12).map(id).collect();
        for job in &jobs {
            site.submit(RENDERS.prefix, job, &render())?;
            thread::sleep(Duration::from_millis(200));
        }
        Ok(jobs)
    };
    let before = submit(0)?;
    let is_done = |job: &String| site.state(RENDERS.prefix, job).as_deref() == Some("completed");
    if !site.until(Duration::from_secs(15), || before.iter().all(is_done)) {
        return Err("the first jobs are not completed within 15 s".to_owned());
    }
    record.say("12 jobs are completed before the disruption");
    if has_trouble {
        for worker in site.workers.iter().filter(|worker| worker.rack == "r1-00") {
            worker.lose();
        }
    }
    thread::sleep(Duration::from_secs(12));
    let jobs = submit(100)?;
    thread::sleep(Duration::from_secs(14));
    let late = watch_waiting(&site, RENDERS.prefix, &jobs, size, Duration::from_secs(8));
    let room = site.room_for(size);
    let line = |(job, idle, state): (String, Duration, String)| {
        format!("LOST: job {job} was accepted and is {state:?}: nothing of it ran for {:.1} s, from 14 s after the last submission on, while there was room for {room} such tasks", idle.as_secs_f64())
    };
    Ok(late.into_iter().map(line).collect())
}

/// LOST: one of 25 jobs can never be done, as no worker has the label that its second step requires;
/// later jobs of the same queue and image could run anywhere.
fn image(has_trouble: bool, record: &Arc<Record>) -> End {
    let site = Site::start(Arc::clone(record), fleet(SMALL.0, SMALL.1, |_, _| ("a", WORKER)), &[RENDERS])?;
    let size = Size { cpu: 3_500, mem: 6_400, gpu: 0 };
    let fills = |image: &str| vec![("fills", Json::Bool(true)), ("image", text(image))];
    let plain = |image: &str| job("1000", vec![step(2, size, 1_000, fills(image))], Vec::new());
    let mut second = fills("img-render-1");
    second.extend([("after", Json::List(vec![num(0)])), ("requiredLabel", text("b"))]);
    let steps = vec![step(2, size, 1_000, fills("img-render-1")), step(2, size, 6_000, second)];
    let hopeless = job("1000,6000", steps, Vec::new());
    // Within 3 s: 24 jobs of two images, and in the first tenth the one that can't be done.
    let mut jobs = Vec::new();
    for number in 0..25 {
        if number == 2 && has_trouble {
            site.submit(RENDERS.prefix, &id(1_000), &hopeless)?;
        } else {
            let image = if number % 2 == 0 { "img-render-1" } else { "img-render-2" };
            let render = id(number);
            site.submit(RENDERS.prefix, &render, &plain(image))?;
            jobs.push((render, image));
        }
        thread::sleep(Duration::from_millis(100));
    }
    // Traffic goes on for some seconds.
    for number in 25..45 {
        let image = if number % 2 == 0 { "img-render-1" } else { "img-render-2" };
        let render = id(number);
        site.submit(RENDERS.prefix, &render, &plain(image))?;
        jobs.push((render, image));
        thread::sleep(Duration::from_millis(200));
    }
    thread::sleep(Duration::from_secs(14));
    let names: Vec<String> = jobs.iter().map(|(job, _)| job.clone()).collect();
    let memory = Size { cpu: 0, ..size };
    let late = watch_waiting(&site, RENDERS.prefix, &names, memory, Duration::from_secs(8));
    for image in ["img-render-1", "img-render-2"] {
        let of_image = || jobs.iter().filter(|(_, own)| *own == image);
        let waiting = of_image().filter(|(job, _)| late.iter().any(|(late, ..)| late == job));
        record.say(&format!("{image}: {} jobs, {} of them don't run", of_image().count(), waiting.count()));
    }
    let line = |(job, idle, state): (String, Duration, String)| {
        format!("LOST: job {job} was accepted and is {state:?}: nothing of it ran for {:.1} s, from 14 s after the last submission on, while {}% were in use", idle.as_secs_f64(), site.percent_in_use())
    };
    Ok(late.into_iter().map(line).collect())
}

/// LOST: some workers fail all that they start; a gang of two fails there once and is shown as failed,
/// although its queue allows two attempts.
fn gang(has_trouble: bool, record: &Arc<Record>) -> End {
    let site = Site::start(Arc::clone(record), fleet(24, 12, |_, _| ("a", WORKER)), &[RENDERS])?;
    let size = Size { cpu: 12_000, mem: 8_000, gpu: 0 };
    let body = job("gang2:800", vec![step(2, size, 800, vec![("gang", Json::Bool(true))])], Vec::new());
    let grey: Vec<_> = site.workers.iter().filter(|w| w.id.ends_with("-00")).cloned().collect();
    if has_trouble {
        grey.iter().for_each(|worker| worker.set_fails_all(true));
    }
    let jobs: Vec<String> = (0..20).map(id).collect();
    for job in &jobs {
        site.submit(RENDERS.prefix, job, &body)?;
    }
    thread::sleep(Duration::from_millis(6_500));
    if has_trouble {
        grey.iter().for_each(|worker| worker.set_fails_all(false));
    }
    thread::sleep(Duration::from_secs(10));
    let mut broken = Vec::new();
    for job in &jobs {
        let state = site.state(RENDERS.prefix, job).unwrap_or_default();
        let runs = site.runs.0.lock().unwrap().clone();
        let failed = runs.iter().filter(|log| log.job() == job.as_str() && log.ended.is_some_and(|(_, how)| how == "failed"));
        let failed: Vec<String> = failed.map(|log| format!("{} run {}", log.task, log.run)).collect();
        let most = runs.iter().filter(|log| log.job() == job.as_str()).map(|log| log.run).max().unwrap_or_default();
        if state == "failed" && most < 2 {
            broken.push(format!("LOST: job {job} is shown as failed after one run of its gang, with 2 attempts; failed ends: {}", failed.join(", ")));
        }
    }
    Ok(broken)
}
