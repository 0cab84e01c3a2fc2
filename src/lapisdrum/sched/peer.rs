//! Calls between processes: a daemon forwards requests to the shard's leaseholder.

use super::{
    Cx,
    job::{JobId, JobSpec, QueueTerms},
    layout::ShardId,
    lease::Holder,
    owner::{
        delegate::{self, GuestTasks, TaskNeed},
        jobs,
        learned::{self, HeardUpto, Told},
    },
};
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

/// Largest frame, in bytes: a job with its payload and steps is far smaller.
const MAX_FRAME_BYTES: usize = 1024 * 1024;
/// Wait after a failed accept.
const ACCEPT_RETRY: Duration = Duration::from_millis(10);

data! {
    /// What one process asks of the owner.
    pub enum Ask {
        /// Take a job in.
        Submit {
            /// The job.
            job: JobId,
            /// What was submitted.
            spec: JobSpec,
            /// What the asker's catalogue says of its queue.
            terms: QueueTerms,
            /// Whether the job's home has handed it to this shard.
            is_sent: bool,
        },
        /// Tell a job's state.
        Show(JobId),
        /// Cancel a job.
        Cancel(JobId),
        /// Count a queue's jobs of which nothing was started.
        Pending(String),
        /// Tell how much of the shard is taken by what lasts.
        Load,
        /// Tell what was learned of pressure since the last answer.
        Learned(Option<HeardUpto>),
        /// Offer room for so many such tasks.
        Room(TaskNeed, u32),
        /// Run tasks of another shard's job.
        Adopt(GuestTasks),
    }

    /// What the owner answers.
    pub enum Answer {
        /// To [`Ask::Submit`].
        Submitted(SubmitReply),
        /// To [`Ask::Show`].
        Shown(ShowReply),
        /// To [`Ask::Cancel`].
        Cancelled(CancelReply),
        /// To [`Ask::Pending`]; none where the one asked isn't the owner.
        Pending(Option<u64>),
        /// To [`Ask::Load`], in thousandths; none where the one asked isn't the owner.
        Load(Option<u32>),
        /// To [`Ask::Learned`]; none where the one asked isn't the owner.
        Learned(Option<Told>),
        /// To [`Ask::Room`]; none where the one asked isn't the owner or places nothing.
        Room(Option<u32>),
        /// To [`Ask::Adopt`].
        Adopted(AdoptReply),
    }

    /// How a request to run another shard's tasks ended.
    #[derive(Copy)]
    pub enum AdoptReply {
        /// It is durable that they are run here.
        Adopted,
        /// The one asked doesn't own the shard, or no longer does.
        NotOwner,
    }

    /// How a submission ended.
    pub enum SubmitReply {
        /// It is durable.
        Accepted,
        /// It is for another shard, which must be asked instead.
        Elsewhere(ShardId),
        /// It was not taken and never will be; come back after this time.
        Busy(Duration),
        /// The one asked doesn't own the shard; nothing was done.
        NotOwner,
        /// It is being made durable on a store that is slow; asked again, the owner goes on waiting for it.
        UnderWay,
        /// It may have been taken.
        Unknown,
    }

    /// How a question for a state ended.
    pub enum ShowReply {
        /// The state.
        State(JobState),
        /// There is no such job.
        Unknown,
        /// The one asked doesn't own the shard.
        NotOwner,
    }

    /// How a cancel ended.
    pub enum CancelReply {
        /// The job is over.
        Done,
        /// There is no such job.
        UnknownJob,
        /// The one asked doesn't own the shard.
        NotOwner,
        /// It may have been cancelled.
        Unknown,
    }

    /// Which process answers at an address.
    pub struct Identity {
        /// The run of the daemon.
        pub run: Holder,
        /// Its data centre.
        pub data_centre: String,
    }

    /// A job's state as callers see it.
    #[derive(Copy)]
    pub enum JobState {
        /// Nothing of it was started.
        Queued,
        /// Some of it was started.
        Running,
        /// Every task is done.
        Completed,
        /// A task failed as often as its queue allows.
        Failed,
        /// Its caller cancelled it.
        Cancelled,
    }
}

/// A call without an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerError {
    what: String,
    /// Whether no connection was made, so that the call certainly had no effect.
    pub is_unsent: bool,
    /// Whether nothing listens at the address.
    pub is_refused: bool,
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "peer did not answer: {}", self.what)
    }
}

/// The service between processes.
#[tarpc::service]
pub trait OwnerService {
    /// Asks one thing of a shard's owner.
    async fn ask(shard: ShardId, ask: Ask) -> Answer;
    /// Tells which run of which daemon this is, and where.
    async fn who() -> Identity;
}

#[derive(Clone)]
struct Server {
    cx: Cx,
}

impl OwnerService for Server {
    async fn ask(self, _: context::Context, shard: ShardId, ask: Ask) -> Answer {
        answer(&self.cx, shard, ask).await
    }

    async fn who(self, _: context::Context) -> Identity {
        Identity {
            run: self.cx.me.clone(),
            data_centre: self.cx.cfg.data_centre.clone(),
        }
    }
}

/// Answers as far as this process owns the shard.
pub async fn answer(cx: &Cx, shard: ShardId, ask: Ask) -> Answer {
    let owner = cx.handle(shard).owner.borrow().clone();
    match (ask, owner) {
        (Ask::Submit { .. }, None) => Answer::Submitted(SubmitReply::NotOwner),
        (Ask::Show(_), None) => Answer::Shown(ShowReply::NotOwner),
        (Ask::Cancel(_), None) => Answer::Cancelled(CancelReply::NotOwner),
        (Ask::Pending(_), None) => Answer::Pending(None),
        (Ask::Load, None) => Answer::Load(None),
        (Ask::Learned(_), None) => Answer::Learned(None),
        (Ask::Room(..), None) => Answer::Room(None),
        (Ask::Adopt(_), None) => Answer::Adopted(AdoptReply::NotOwner),
        (Ask::Learned(upto), Some(owner)) => Answer::Learned(learned::tell(cx, &owner, upto)),
        (Ask::Load, Some(owner)) => Answer::Load(owner.lasting_load(cx)),
        (
            Ask::Submit {
                job,
                spec,
                terms,
                is_sent,
            },
            Some(owner),
        ) => {
            let submitted = jobs::submit(cx, &owner, job, Rc::new(spec), terms, is_sent);
            Answer::Submitted(submitted.await)
        }
        (Ask::Room(need, wanted), Some(owner)) => Answer::Room(owner.offer_room(cx, &need, wanted)),
        (Ask::Adopt(tasks), Some(owner)) => {
            Answer::Adopted(delegate::adopt(cx, &owner, tasks).await)
        }
        (Ask::Show(job), Some(owner)) => Answer::Shown(jobs::show(cx, &owner, job)),
        (Ask::Cancel(job), Some(owner)) => Answer::Cancelled(jobs::cancel(cx, &owner, job).await),
        (Ask::Pending(queue), Some(owner)) => Answer::Pending(jobs::pending(cx, &owner, &queue)),
    }
}

/// Serves other processes for as long as the returned future is polled.
pub async fn serve(cx: Cx, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        // Without it a reply waits for the next packet's acknowledgement; the call works either way.
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

/// Connections to other processes, kept and reopened.
#[derive(Default)]
pub struct Peers {
    open: RefCell<IndexMap<String, OwnerServiceClient>>,
}

impl Peers {
    /// Asks the process at `address` about a shard and waits no longer than `limit`.
    pub async fn ask(
        &self,
        address: &str,
        shard: ShardId,
        ask: Ask,
        limit: Duration,
    ) -> Result<Answer, PeerError> {
        let call = async |client: OwnerServiceClient, cx| client.ask(cx, shard, ask).await;
        self.exchange(address, limit, call).await
    }

    /// Asks the process at `address` which run of which daemon it is.
    pub async fn who(&self, address: &str, limit: Duration) -> Result<Identity, PeerError> {
        let call = async |client: OwnerServiceClient, cx| client.who(cx).await;
        self.exchange(address, limit, call).await
    }

    /// One call. A connection on which an answer failed to come is given up: it may have gone silent for good.
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
                what: e.to_string(),
                is_unsent: false,
                is_refused: false,
            })
        };
        let timeout = PeerError {
            what: "timeout".to_owned(),
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
        let unsent = |what: String, is_refused| PeerError {
            what,
            is_unsent: true,
            is_refused,
        };
        let target: SocketAddr = address
            .parse()
            .map_err(|_| unsent(format!("`{address}` is no IP number and port"), false))?;
        let mut connect = tarpc::serde_transport::tcp::connect(target, Bincode::default);
        connect.config_mut().max_frame_length(MAX_FRAME_BYTES);
        let transport = connect.await.map_err(|e| {
            let is_refused = e.kind() == io::ErrorKind::ConnectionRefused;
            unsent(e.to_string(), is_refused)
        })?;
        let new = OwnerServiceClient::new(client::Config::default(), transport);
        actix_rt::spawn(async move {
            // The calls under way are told of the connection's end themselves.
            let _ = new.dispatch.await;
        });
        self.open
            .borrow_mut()
            .insert(address.to_owned(), new.client.clone());
        Ok(new.client)
    }
}
