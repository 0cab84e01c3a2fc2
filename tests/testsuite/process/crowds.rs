//! Crowds of clients that misbehave, against one daemon as a process of its own: it must live, stay within the memory and
//! the descriptors of the smallest host, and answer an ordinary caller while the crowd still holds its connections and
//! after it has left.

use super::users_platform;
use crate::support::{
    crowd::{Crowd, Kind},
    http,
    process::{DaemonProcess, Process, Site, lapisdrum_binary, limited_command},
    wait,
};
use actix_http::Method;
use lapisdrum_standins::site::DaemonPlan;
use serde_json::json;
use std::{
    fs::File,
    net::SocketAddr,
    path::Path,
    process::{Command, Stdio},
    time::Duration,
};
use tempfile::NamedTempFile;
use tokio::sync::{Mutex, MutexGuard};

/// Memory of the smallest host, in MB.
const MEMORY_MB: u64 = 160;
/// Descriptors of a process on the smallest host.
const DESCRIPTORS: u32 = 4_096;
/// A lower limit of descriptors, which a small crowd of connections reaches.
const FEW_DESCRIPTORS: u32 = 512;
/// Descriptors of a process that are for files; its connections share the others.
const FILE_DESCRIPTORS: u32 = 200;
/// Period over which the daemon's processor time is measured.
const MEASURED: Duration = Duration::from_secs(1);
/// Processor time in this period, in hundredths of a second, below which the daemon has nothing left to work through.
const IDLE_TICKS: u64 = 20;
/// Most such periods that a crowd is watched for.
const MAX_PERIODS: usize = 30;
/// Time limit against hanging.
const LIMIT: Duration = Duration::from_secs(120);
/// Time limit for an end after SIGTERM, below the 30 s that the daemon waits for requests in flight.
const STOP_LIMIT: Duration = Duration::from_secs(20);
const MIB: usize = 1024 * 1024;
const KIB: usize = 1024;
/// The largest body that the platform's catalogue allows.
const PLATFORM_BODY: usize = 256 * KIB;
/// `Host` header of requests to the platform's queue.
const HOST: &str = "trail.example";

/// Only one crowd at a time.
static ALONE: Mutex<()> = Mutex::const_new(());

/// The interface through which a daemon is reached, and what stands around the daemon.
enum Around {
    Own(Site),
    Platform(users_platform::Site),
}

/// A daemon under test.
struct Target {
    around: Around,
    /// Bound of its open descriptors.
    max_descriptors: u32,
    _alone: MutexGuard<'static, ()>,
}

fn usual_command() -> Command {
    limited_command(DESCRIPTORS)
}

fn few_descriptors() -> Command {
    limited_command(FEW_DESCRIPTORS)
}

impl Target {
    /// A daemon with the product's own interface, a worker and the example catalogue.
    async fn own(run: impl Fn() -> Command) -> Self {
        let alone = ALONE.lock().await;
        let mut site = Site::start(0, 1).await;
        let mut plan = DaemonPlan::new("westlands-0", "westlands", site.platform.address);
        plan.extra_settings = plan.extra_settings.replace("\"warn\"", "\"info\"");
        site.daemons.push(DaemonProcess::start_by(run(), plan));
        site.daemons[0].ready().await;
        let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/catalogue.toml");
        let daemon = site.daemons[0].plan.callers.to_string();
        let applied = Command::new(lapisdrum_binary())
            .args(["catalogue", "apply", "--wait", "--daemon", &daemon])
            .arg(file)
            .stdout(Stdio::null())
            .status();
        assert!(applied.is_ok_and(|status| status.success()));
        Self::checked(Around::Own(site), alone).await
    }

    /// A daemon on the users' platform, with its store and workers.
    async fn platform(run: impl Fn() -> Command, descriptors: u32) -> Self {
        let alone = ALONE.lock().await;
        let site = users_platform::Site::start_by(run, descriptors, 1, |_| {}).await;
        Self::checked(Around::Platform(site), alone).await
    }

    async fn checked(around: Around, alone: MutexGuard<'static, ()>) -> Self {
        let target = Self {
            around,
            max_descriptors: DESCRIPTORS - FILE_DESCRIPTORS,
            _alone: alone,
        };
        target.answers("before any crowd").await;
        target
    }

    fn process(&self) -> &Process {
        match &self.around {
            Around::Own(site) => &site.daemons[0].process,
            Around::Platform(site) => &site.daemons[0].0,
        }
    }

    fn process_mut(&mut self) -> &mut Process {
        match &mut self.around {
            Around::Own(site) => &mut site.daemons[0].process,
            Around::Platform(site) => &mut site.daemons[0].0,
        }
    }

    fn callers(&self) -> SocketAddr {
        match &self.around {
            Around::Own(site) => site.daemons[0].plan.callers,
            Around::Platform(site) => site.daemons[0].1,
        }
    }

    /// A crowd that calls what ordinary callers call.
    fn crowd(&self, kind: Kind, clients: usize, bytes: usize) -> Crowd<'static> {
        let (host, path) = match &self.around {
            Around::Own(_) => ("lapisdrum", "/v1/run/route-map"),
            Around::Platform(_) => (HOST, "/maps/00000000000000aa"),
        };
        let address = self.callers();
        Crowd {
            kind,
            clients,
            bytes,
            address,
            host,
            path,
        }
    }

    /// Waits until an ordinary request is answered with success.
    async fn answers(&self, when: &str) {
        let what = format!("an ordinary answer {when}");
        wait::until(&what, LIMIT, async || {
            let (path, body) = match &self.around {
                Around::Own(_) => ("/v1/run/route-map", "studio 14".to_owned()),
                Around::Platform(_) => (
                    "/maps/00000000000000a1",
                    json!({ "spec": "50", "steps": [{ "count": 1, "cpu": 1000, "memMb": 500 }] })
                        .to_string(),
                ),
            };
            let headers = [("host", HOST)];
            let headers: &[_] = match &self.around {
                Around::Own(_) => &[],
                Around::Platform(_) => &headers,
            };
            let answer = http::send(Method::POST, self.callers(), path, headers, body).await;
            answer.is_ok_and(|answer| answer.status.is_success())
        })
        .await;
    }

    /// Checks life, memory and descriptors.
    fn is_within_limits(&mut self, when: &str) {
        assert_eq!(self.process_mut().exit_status(), None, "it lives {when}");
        let memory_mb = self.process().peak_memory_kb() / 1024;
        assert!(
            memory_mb <= MEMORY_MB,
            "{memory_mb} MB of memory {when}, {MEMORY_MB} allowed"
        );
        let (descriptors, most) = (self.process().descriptors(), self.max_descriptors);
        assert!(
            descriptors <= most as usize,
            "{descriptors} descriptors {when}, {most} allowed"
        );
    }

    /// Lets the daemon work through what its sockets still hold, within its limits.
    async fn works_through_the_rest(&mut self, when: &str) {
        for _ in 0..MAX_PERIODS {
            let before = self.process().processor_ticks();
            tokio::time::sleep(MEASURED).await;
            self.is_within_limits(when);
            if self.process().processor_ticks() - before < IDLE_TICKS {
                return;
            }
        }
    }

    /// Has the crowd come and leave, with the checks at both times.
    async fn bears(&mut self, crowd: Crowd<'_>) {
        let connections = crowd.gather().await;
        let beside = format!("beside {crowd:?}");
        self.works_through_the_rest(&beside).await;
        self.is_within_limits(&beside);
        self.answers(&beside).await;
        self.is_within_limits(&beside);
        drop(connections);
        let after = format!("after {crowd:?}");
        self.answers(&after).await;
        self.is_within_limits(&after);
    }

    /// Sends SIGTERM beside `clients` bodies that stop short; the daemon must end by itself, and no request that has
    /// arrived whole may be cut off.
    async fn ends_beside_stalled_bodies(mut self, clients: usize, log: &NamedTempFile) {
        // The client that sends its whole body has its answer before the signal.
        let connections = self
            .crowd(Kind::Whole, clients + 1, 64 * KIB)
            .gather()
            .await;
        self.answers("beside stalled bodies").await;
        self.process().signal("TERM");
        wait::until("it ends by itself", STOP_LIMIT, async || {
            self.process_mut().exit_status() == Some(0)
        })
        .await;
        drop(connections);
        let log = std::fs::read_to_string(log.path()).expect("a log");
        assert!(log.contains("draining"), "the log is recorded: {log}");
        assert!(
            !log.contains("requests still in flight are cut off"),
            "{log}"
        );
    }
}

/// A command that writes the daemon's log to `log`.
fn logged(log: &NamedTempFile) -> impl Fn() -> Command {
    let path = log.path().to_owned();
    move || {
        let mut cmd = usual_command();
        cmd.stdout(File::options().append(true).open(&path).expect("a file"));
        cmd
    }
}

mod own {
    use super::*;

    async fn target() -> Target {
        Target::own(usual_command).await
    }

    /// Guards against bodies, written at once, that fill the memory while their clients stop just short of the end.
    #[actix_rt::test]
    async fn whole_bodies() {
        let mut target = target().await;
        target.bears(target.crowd(Kind::Whole, 256, MIB)).await;
    }

    /// Guards against bodies that fill the memory piece by piece while their clients stop just short of the end.
    #[actix_rt::test]
    async fn bodies_in_pieces() {
        let mut target = target().await;
        target.bears(target.crowd(Kind::Pieces, 256, MIB)).await;
    }

    /// Guards against large chunks that fill the memory while their clients stop just short of the end.
    #[actix_rt::test]
    async fn large_chunks() {
        let mut target = target().await;
        target
            .bears(target.crowd(Kind::LargeChunks, 256, MIB))
            .await;
    }

    /// Guards against chunks of a byte that take many times their size.
    #[actix_rt::test]
    async fn tiny_chunks() {
        let mut target = target().await;
        target
            .bears(target.crowd(Kind::TinyChunks, 192, 256 * KIB))
            .await;
    }

    /// Guards against bodies over the limit, announced, that take memory.
    #[actix_rt::test]
    async fn bodies_announced_over_the_limit() {
        let mut target = target().await;
        target.bears(target.crowd(Kind::Pieces, 64, 16 * MIB)).await;
    }

    /// Guards against bodies over the limit, sent without a length, that take memory.
    #[actix_rt::test]
    async fn bodies_sent_over_the_limit() {
        let mut target = target().await;
        target
            .bears(target.crowd(Kind::LargeChunks, 300, 16 * MIB))
            .await;
    }

    /// Guards against bodies that are read for an entry that does not exist.
    #[actix_rt::test]
    async fn bodies_for_an_unknown_entry() {
        let mut target = target().await;
        let mut crowd = target.crowd(Kind::Whole, 256, MIB);
        crowd.path = "/v1/run/no-such-entry";
        target.bears(crowd).await;
    }

    /// Guards against responses that pile up for a client that reads none.
    #[actix_rt::test]
    async fn pipelined_requests_left_unread() {
        let mut target = target().await;
        let mut crowd = target.crowd(Kind::Pipelined, 10, 20 * MIB);
        // Short requests for what does not exist, whose responses are several times as long.
        (crowd.host, crowd.path) = ("a", "/x");
        target.bears(crowd).await;
    }

    /// Guards against large responses that pile up for a client that reads none.
    #[actix_rt::test]
    async fn pipelined_requests_for_metrics_left_unread() {
        let mut target = target().await;
        let mut crowd = target.crowd(Kind::Pipelined, 10, 4 * MIB);
        crowd.path = "/metrics";
        target.bears(crowd).await;
    }

    /// Guards against heads without an end that fill the memory.
    #[actix_rt::test]
    async fn unfinished_heads() {
        let mut target = target().await;
        target
            .bears(target.crowd(Kind::Head, 1_500, 120 * KIB))
            .await;
    }

    /// Guards against idle connections that take the descriptors which the daemon's own calls need.
    #[actix_rt::test]
    async fn idle_connections() {
        let mut target = Target::own(few_descriptors).await;
        target.max_descriptors = FEW_DESCRIPTORS - FILE_DESCRIPTORS;
        target.bears(target.crowd(Kind::Idle, 700, 1)).await;
    }

    /// Guards against memory that a crowd leaves taken, so that the next crowd ends the process.
    #[actix_rt::test]
    async fn one_crowd_after_another() {
        let mut target = target().await;
        for kind in [Kind::Whole, Kind::LargeChunks, Kind::Pieces, Kind::Whole] {
            target.bears(target.crowd(kind, 160, MIB)).await;
        }
    }

    /// Guards against a graceful end that waits for bodies that never come.
    #[actix_rt::test]
    async fn stalled_bodies_beside_a_stop() {
        let log = NamedTempFile::new().expect("a file");
        let target = Target::own(logged(&log)).await;
        target.ends_beside_stalled_bodies(7, &log).await;
    }
}

mod platform {
    use super::*;

    async fn target() -> Target {
        Target::platform(usual_command, DESCRIPTORS).await
    }

    /// Guards against bodies, written at once, that fill the memory while their clients stop just short of the end.
    #[actix_rt::test]
    async fn whole_bodies() {
        let mut target = target().await;
        target
            .bears(target.crowd(Kind::Whole, 800, PLATFORM_BODY))
            .await;
    }

    /// Guards against bodies that fill the memory piece by piece while their clients stop just short of the end.
    #[actix_rt::test]
    async fn bodies_in_pieces() {
        let mut target = target().await;
        target
            .bears(target.crowd(Kind::Pieces, 800, PLATFORM_BODY))
            .await;
    }

    /// Guards against large chunks that fill the memory while their clients stop just short of the end.
    #[actix_rt::test]
    async fn large_chunks() {
        let mut target = target().await;
        target
            .bears(target.crowd(Kind::LargeChunks, 800, PLATFORM_BODY))
            .await;
    }

    /// Guards against chunks of a byte that take many times their size.
    #[actix_rt::test]
    async fn tiny_chunks() {
        let mut target = target().await;
        target
            .bears(target.crowd(Kind::TinyChunks, 192, PLATFORM_BODY))
            .await;
    }

    /// Guards against bodies over the catalogue's limit, announced, that are read nevertheless.
    #[actix_rt::test]
    async fn bodies_announced_over_the_limit() {
        let mut target = target().await;
        target.bears(target.crowd(Kind::Whole, 256, MIB)).await;
    }

    /// Guards against bodies over the limit, sent without a length, that take memory.
    #[actix_rt::test]
    async fn bodies_sent_over_the_limit() {
        let mut target = target().await;
        target
            .bears(target.crowd(Kind::LargeChunks, 400, 16 * MIB))
            .await;
    }

    /// Guards against bodies that are read for a queue that does not exist.
    #[actix_rt::test]
    async fn bodies_for_an_unknown_queue() {
        let mut target = target().await;
        let mut crowd = target.crowd(Kind::Whole, 256, MIB);
        crowd.path = "/no-such-queue/00000000000000aa";
        target.bears(crowd).await;
    }

    /// Guards against bodies that are read where no request has one.
    #[actix_rt::test]
    async fn bodies_at_the_readiness_and_metrics_addresses() {
        let mut target = target().await;
        let Around::Platform(site) = &target.around else {
            return;
        };
        let addresses = [site.daemons[0].2, site.metrics[0]];
        for address in addresses {
            let mut crowd = target.crowd(Kind::Whole, 300, MIB);
            crowd.address = address;
            target.bears(crowd).await;
        }
    }

    /// Guards against responses that pile up for a client that reads none.
    #[actix_rt::test]
    async fn pipelined_requests_left_unread() {
        let mut target = target().await;
        target
            .bears(target.crowd(Kind::Pipelined, 10, 2 * MIB))
            .await;
    }

    /// Guards against heads without an end that fill the memory.
    #[actix_rt::test]
    async fn unfinished_heads() {
        let mut target = target().await;
        target
            .bears(target.crowd(Kind::Head, 1_500, 120 * KIB))
            .await;
    }

    /// Guards against idle connections that take the descriptors which the daemon's own calls need.
    #[actix_rt::test]
    async fn idle_connections() {
        let mut target = Target::platform(few_descriptors, FEW_DESCRIPTORS).await;
        target.max_descriptors = FEW_DESCRIPTORS - FILE_DESCRIPTORS;
        target.bears(target.crowd(Kind::Idle, 700, 1)).await;
    }

    /// Guards against memory that a crowd leaves taken, so that the next crowd ends the process.
    #[actix_rt::test]
    async fn one_crowd_after_another() {
        let mut target = target().await;
        for kind in [Kind::Whole, Kind::LargeChunks, Kind::Pieces, Kind::Whole] {
            target.bears(target.crowd(kind, 500, PLATFORM_BODY)).await;
        }
    }

    /// Guards against a graceful end that waits for bodies that never come.
    #[actix_rt::test]
    async fn stalled_bodies_beside_a_stop() {
        let log = NamedTempFile::new().expect("a file");
        let target = Target::platform(logged(&log), DESCRIPTORS).await;
        target.ends_beside_stalled_bodies(7, &log).await;
    }
}
