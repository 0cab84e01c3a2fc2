//! Calls between processes: a daemon forwards requests to the shard's leaseholder.

use super::{
    Cx, handover,
    job::{JobId, JobSpec, QueueConfig},
    layout::ShardId,
    lease::Holder,
    owner::{
        delegate::{self, GuestTasks, TaskNeed},
        estimates::{self, LearnedUpdate, ReceivedVersions},
        jobs,
        moves::{self, MovedJob},
        returns::{self, ReturnedTasks},
        shard_loads,
        suitable::{JobNeeds, Suitability},
    },
};
use crate::policy::{shard_load::LoadDigest, succession::Candidate};
use actix_rt::net::TcpListener;
use futures::StreamExt;
use indexmap::IndexMap;
use std::{cell::RefCell, fmt, io, net::SocketAddr, rc::Rc, time::Duration};
use tarpc::{
    client::{self, RpcError},
    context,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
    tokio_util::codec::{Decoder, LengthDelimitedCodec},
};

/// Maximum frame size; a job with its payload and steps is far smaller.
const MAX_FRAME_BYTES: usize = 1024 * 1024;
/// Delay after a failed accept.
const ACCEPT_RETRY: Duration = Duration::from_millis(10);

data! {
    /// Request to the owner of a shard.
    pub enum OwnerRequest {
        /// Accept a job.
        Submit {
            /// Id of the job.
            job: JobId,
            /// Specification as submitted.
            spec: JobSpec,
            /// Settings of the job's queue in the sender's catalogue.
            terms: QueueConfig,
            /// Whether the job's home shard has transferred the job to this one.
            is_sent: bool,
        },
        /// Return a job's state.
        Show(JobId),
        /// Cancel a job.
        Cancel(JobId),
        /// Count the jobs of a queue that have not started.
        Pending(String),
        /// Of an earlier version, which compares shards by totals; it gets no figure.
        Load,
        /// Return the interference estimates that are newer than the given versions, or all of them
        /// if none are given.
        Learned(Option<ReceivedVersions>),
        /// Offer free capacity for up to this number of tasks of a kind; 0 releases an offer for such
        /// tasks that is not used.
        Room(TaskNeed, u32),
        /// Run tasks that another shard delegates.
        Adopt(GuestTasks),
        /// Take tasks back that were delegated.
        TakeBack(ReturnedTasks),
        /// Tell whether the shard has workers for a job, and how loaded they are.
        Suitability(JobNeeds),
        /// Accept a job, like [`Self::Submit`].
        SubmitFrom {
            /// Data centre of the daemon that received the job.
            data_centre: String,
            /// Id of the job.
            job: JobId,
            /// Specification as submitted.
            spec: JobSpec,
            /// Settings of the job's queue in the sender's catalogue.
            terms: QueueConfig,
            /// Whether the job's home shard has transferred the job to this one.
            is_sent: bool,
        },
        /// Tell whether the callee may take the shard over. This and the next two are sent to
        /// daemons that are named in [`PRESENCE_TABLE`](handover::PRESENCE_TABLE).
        Candidacy,
        /// Read the shard's state ahead.
        Prepare,
        /// Take the shard over, which was released for the callee this many milliseconds after its
        /// owner stopped.
        TakeOver(u64),
        /// Describe the load of the shard; only to owners whose lease row says that they know it.
        LoadDigest,
        /// Accept a job that waited in its home. This and the next one are sent only to owners whose
        /// lease row says that they know them.
        TakeJob(MovedJob),
        /// Tell whether the callee, the home of this job, still sends [`Self::TakeJob`] for it.
        StillMoving(JobId),
    }

    /// Reply to an [`OwnerRequest`].
    pub enum OwnerReply {
        /// Reply to [`OwnerRequest::Submit`].
        Submitted(SubmitReply),
        /// Reply to [`OwnerRequest::Show`].
        Shown(ShowReply),
        /// Reply to [`OwnerRequest::Cancel`].
        Cancelled(CancelReply),
        /// Reply to [`OwnerRequest::Pending`]; `None` if the callee is not certain to own the
        /// shard.
        Pending(Option<u64>),
        /// Reply to [`OwnerRequest::Load`].
        Load(Option<u32>),
        /// Reply to [`OwnerRequest::Learned`]; `None` if the callee does not own the shard or has
        /// not recovered it yet.
        Learned(Option<LearnedUpdate>),
        /// Reply to [`OwnerRequest::Room`], the number of tasks; `None` if the callee does not own
        /// the shard or places no tasks.
        Room(Option<u32>),
        /// Reply to [`OwnerRequest::Adopt`].
        Adopted(AdoptReply),
        /// Reply to [`OwnerRequest::TakeBack`].
        TakenBack(TakeBackReply),
        /// Reply to [`OwnerRequest::Suitability`]; `None` if the callee does not own the shard or
        /// can't tell yet.
        Suitability(Option<Suitability>),
        /// Reply to [`OwnerRequest::Candidacy`]; `None` if the callee takes no shard over as planned.
        Candidacy(Option<Candidate>),
        /// Reply to [`OwnerRequest::Prepare`]: the last journal row that was read; `None` if the
        /// callee isn't prepared.
        Prepared(Option<u64>),
        /// Reply to [`OwnerRequest::TakeOver`]: whether the callee tries to take the shard over.
        TakingOver(bool),
        /// Reply to [`OwnerRequest::LoadDigest`]; `None` if the callee does not own the shard or
        /// places no tasks.
        LoadDigest(Option<LoadDigest>),
        /// Reply to [`OwnerRequest::TakeJob`].
        JobTaken(TakeReply),
        /// Reply to [`OwnerRequest::StillMoving`]; `None` if the callee is not certain.
        StillMoving(Option<bool>),
    }

    /// Outcome of [`OwnerRequest::TakeJob`].
    #[derive(Copy)]
    pub enum TakeReply {
        /// The acceptance is durable.
        Taken,
        /// The acceptance is being written to a slow store; if asked again, the owner continues to
        /// wait for it.
        UnderWay,
        /// The job was not accepted, or may not have been; to be called again.
        Busy,
        /// The callee does not own the shard, or lost it during the call.
        NotOwner,
    }

    /// Outcome of [`OwnerRequest::TakeBack`].
    #[derive(Copy)]
    pub enum TakeBackReply {
        /// The tasks are with the callee, or a repeated call had no effect; both are durable.
        Confirmed,
        /// The callee does not own the shard, or lost it during the call.
        NotOwner,
    }

    /// Outcome of [`OwnerRequest::Adopt`].
    #[derive(Copy)]
    pub enum AdoptReply {
        /// The adoption is durable.
        Adopted,
        /// The callee does not own the shard, or lost it during the call.
        NotOwner,
    }

    /// Outcome of [`OwnerRequest::Submit`].
    pub enum SubmitReply {
        /// The acceptance is durable.
        Accepted,
        /// The callee has transferred the job to the shard given here; the submission must be sent
        /// there instead.
        Elsewhere(ShardId),
        /// The job was not accepted and will not be; the caller may submit it again after this
        /// time.
        Busy(Duration),
        /// The callee does not own the shard; the call had no effect.
        NotOwner,
        /// The acceptance is being written to a slow store; if asked again, the owner continues to
        /// wait for it.
        UnderWay,
        /// The job may have been accepted.
        Unknown,
    }

    /// Outcome of [`OwnerRequest::Show`].
    pub enum ShowReply {
        /// The job's current state.
        State(JobState),
        /// There is no such job.
        Unknown,
        /// The callee does not own the shard.
        NotOwner,
    }

    /// Outcome of [`OwnerRequest::Cancel`].
    pub enum CancelReply {
        /// The job has ended.
        Done,
        /// There is no such job.
        UnknownJob,
        /// The callee does not own the shard.
        NotOwner,
        /// The job may have been cancelled.
        Unknown,
        /// The shard does not know the job, and can't record that it was cancelled; retry after this
        /// time. An earlier version can't read it, and takes it for no answer.
        Busy(Duration),
    }

    /// Identity of the process at an address.
    pub struct Identity {
        /// Daemon, address and incarnation.
        pub run: Holder,
        /// Data centre of the daemon.
        pub data_centre: String,
    }

    /// State of a job as reported to callers.
    #[derive(Copy)]
    pub enum JobState {
        /// No task was started.
        Queued,
        /// At least one task was started.
        Running,
        /// Every task is done.
        Completed,
        /// A task or gang used up the attempts that the queue allows.
        Failed,
        /// Cancelled on request.
        Cancelled,
    }
}

/// A call to another daemon that failed or got no reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerError {
    message: String,
    /// Whether no connection was made, so that the call certainly had no effect.
    pub is_unsent: bool,
    /// Whether the connection was refused, so that no process listens at the address.
    pub is_refused: bool,
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "peer did not answer: {}", self.message)
    }
}

/// RPC service that daemons offer to each other.
#[tarpc::service]
pub trait OwnerService {
    /// Sends a request to the owner of a shard.
    async fn ask(shard: ShardId, ask: OwnerRequest) -> OwnerReply;
    /// Returns the identity of this process.
    async fn who() -> Identity;
}

#[derive(Clone)]
struct Server {
    cx: Cx,
}

impl OwnerService for Server {
    async fn ask(self, _: context::Context, shard: ShardId, ask: OwnerRequest) -> OwnerReply {
        answer(&self.cx, shard, ask).await
    }

    async fn who(self, _: context::Context) -> Identity {
        Identity {
            run: self.cx.me.clone(),
            data_centre: self.cx.cfg.data_centre.clone(),
        }
    }
}

/// Executes a request if this process owns the shard; otherwise the reply says that it does not. An
/// owner that releases the shard, or whose token a worker refuses, answers for nothing, since the
/// next one may own it already: the caller asks that one.
pub async fn answer(cx: &Cx, shard: ShardId, ask: OwnerRequest) -> OwnerReply {
    let owner = cx.handle(shard).owner.borrow().clone();
    let owner = owner.filter(|owner| !owner.is_releasing() && !owner.is_suspended());
    match (ask, owner) {
        (OwnerRequest::Submit { .. } | OwnerRequest::SubmitFrom { .. }, None) => {
            OwnerReply::Submitted(SubmitReply::NotOwner)
        }
        (OwnerRequest::Show(_), None) => OwnerReply::Shown(ShowReply::NotOwner),
        (OwnerRequest::Cancel(_), None) => OwnerReply::Cancelled(CancelReply::NotOwner),
        (OwnerRequest::Pending(_), None) => OwnerReply::Pending(None),
        (OwnerRequest::Load, _) => OwnerReply::Load(None),
        (OwnerRequest::Candidacy, _) => OwnerReply::Candidacy(handover::candidacy(cx)),
        (OwnerRequest::Prepare, _) => {
            OwnerReply::Prepared(handover::prepare(cx, &cx.handle(shard)).await)
        }
        (OwnerRequest::TakeOver(stopped_ms), _) => {
            let stopped = Duration::from_millis(stopped_ms);
            OwnerReply::TakingOver(handover::take_over(cx, &cx.handle(shard), stopped))
        }
        (OwnerRequest::LoadDigest, None) => OwnerReply::LoadDigest(None),
        (OwnerRequest::TakeJob(_), None) => OwnerReply::JobTaken(TakeReply::NotOwner),
        (OwnerRequest::StillMoving(_), None) => OwnerReply::StillMoving(None),
        (OwnerRequest::Suitability(_), None) => OwnerReply::Suitability(None),
        (OwnerRequest::Learned(_), None) => OwnerReply::Learned(None),
        (OwnerRequest::Room(..), None) => OwnerReply::Room(None),
        (OwnerRequest::Adopt(_), None) => OwnerReply::Adopted(AdoptReply::NotOwner),
        (OwnerRequest::TakeBack(_), None) => OwnerReply::TakenBack(TakeBackReply::NotOwner),
        (OwnerRequest::Learned(upto), Some(owner)) => {
            OwnerReply::Learned(estimates::updates_since(cx, &owner, upto))
        }
        (OwnerRequest::LoadDigest, Some(owner)) => {
            OwnerReply::LoadDigest(shard_loads::digest(cx, &owner))
        }
        (OwnerRequest::Suitability(needs), Some(owner)) => {
            OwnerReply::Suitability(owner.suitability(cx, &needs))
        }
        (
            OwnerRequest::Submit {
                job,
                spec,
                terms,
                is_sent,
            },
            Some(owner),
        ) => {
            let submitted = jobs::submit(cx, &owner, job, Rc::new(spec), terms, None, is_sent);
            OwnerReply::Submitted(submitted.await)
        }
        (
            OwnerRequest::SubmitFrom {
                data_centre,
                job,
                spec,
                terms,
                is_sent,
            },
            Some(owner),
        ) => {
            let (spec, from) = (Rc::new(spec), Some(data_centre));
            let submitted = jobs::submit(cx, &owner, job, spec, terms, from, is_sent);
            OwnerReply::Submitted(submitted.await)
        }
        (OwnerRequest::TakeJob(moved), Some(owner)) => {
            OwnerReply::JobTaken(moves::take(cx, &owner, moved).await)
        }
        (OwnerRequest::StillMoving(job), Some(owner)) => {
            OwnerReply::StillMoving(moves::is_still_moving(&owner, job).await)
        }
        (OwnerRequest::Room(need, wanted), Some(owner)) => {
            OwnerReply::Room(owner.offer_capacity(cx, &need, wanted))
        }
        (OwnerRequest::Adopt(tasks), Some(owner)) => {
            OwnerReply::Adopted(delegate::adopt(cx, &owner, tasks).await)
        }
        (OwnerRequest::TakeBack(tasks), Some(owner)) => {
            OwnerReply::TakenBack(returns::take_back(cx, &owner, tasks).await)
        }
        (OwnerRequest::Show(job), Some(owner)) => {
            OwnerReply::Shown(jobs::show(cx, &owner, job).await)
        }
        (OwnerRequest::Cancel(job), Some(owner)) => {
            OwnerReply::Cancelled(jobs::cancel(cx, &owner, job).await)
        }
        (OwnerRequest::Pending(queue), Some(owner)) => {
            OwnerReply::Pending(jobs::pending(cx, &owner, &queue).await)
        }
    }
}

/// Accepts connections of other daemons for as long as the returned future is polled.
pub async fn serve(cx: Cx, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        // Avoids that a reply waits for the acknowledgement of the previous packet. On failure
        // calls are only slower.
        let _ = stream.set_nodelay(true);
        let mut codec = LengthDelimitedCodec::new();
        codec.set_max_frame_length(MAX_FRAME_BYTES);
        let transport = tarpc::serde_transport::new(codec.framed(stream), Bincode::default());
        let server = Server { cx: Rc::clone(&cx) };
        let calls = BaseChannel::with_defaults(transport).execute(server.serve());
        actix_rt::spawn(calls.for_each(|call| async move {
            actix_rt::spawn(call);
        }));
    }
}

/// Pool of connections to other daemons, by address.
#[derive(Default)]
pub struct Peers {
    open: RefCell<IndexMap<String, OwnerServiceClient>>,
}

impl Peers {
    /// Sends a request about a shard to the process at `address`; `limit` bounds connection and
    /// call.
    pub async fn ask(
        &self,
        address: &str,
        shard: ShardId,
        ask: OwnerRequest,
        limit: Duration,
    ) -> Result<OwnerReply, PeerError> {
        let call = async |client: OwnerServiceClient, cx| client.ask(cx, shard, ask).await;
        self.exchange(address, limit, call).await
    }

    /// Returns the identity of the process at `address`; `limit` bounds connection and call.
    pub async fn who(&self, address: &str, limit: Duration) -> Result<Identity, PeerError> {
        let call = async |client: OwnerServiceClient, cx| client.who(cx).await;
        self.exchange(address, limit, call).await
    }

    /// Makes one call. A connection on which a call failed is dropped, since it may never deliver a
    /// reply again.
    async fn exchange<T>(
        &self,
        address: &str,
        limit: Duration,
        call: impl AsyncFnOnce(OwnerServiceClient, context::Context) -> Result<T, RpcError>,
    ) -> Result<T, PeerError> {
        let exchange = async {
            let client = self.client(address).await?;
            let mut cx = context::current();
            cx.deadline = std::time::Instant::now() + limit;
            let answered = call(client, cx).await;
            answered.map_err(|e| PeerError {
                message: e.to_string(),
                is_unsent: false,
                is_refused: false,
            })
        };
        let timeout = PeerError {
            message: "timeout".to_owned(),
            is_unsent: false,
            is_refused: false,
        };
        let outcome = tokio::time::timeout(limit, exchange).await;
        let outcome = outcome.unwrap_or(Err(timeout));
        if outcome.is_err() {
            self.open.borrow_mut().swap_remove(address);
        }
        outcome
    }

    async fn client(&self, address: &str) -> Result<OwnerServiceClient, PeerError> {
        if let Some(client) = self.open.borrow().get(address) {
            return Ok(client.clone());
        }
        let unsent = |message: String, is_refused| PeerError {
            message,
            is_unsent: true,
            is_refused,
        };
        let target: SocketAddr = address
            .parse()
            .map_err(|_| unsent(format!("`{address}` is not an IP number and port"), false))?;
        let mut connect = tarpc::serde_transport::tcp::connect(target, Bincode::default);
        connect.config_mut().max_frame_length(MAX_FRAME_BYTES);
        let transport = connect.await.map_err(|e| {
            let is_refused = e.kind() == io::ErrorKind::ConnectionRefused;
            unsent(e.to_string(), is_refused)
        })?;
        let new = OwnerServiceClient::new(client::Config::default(), transport);
        actix_rt::spawn(async move {
            // Pending calls get the connection's error themselves.
            let _ = new.dispatch.await;
        });
        self.open
            .borrow_mut()
            .insert(address.to_owned(), new.client.clone());
        Ok(new.client)
    }
}
