//! Stand-ins as processes of their own: `standins platform`, `standins worker`, several workers in one
//! process, and `standins site`, a platform with its workers for trying things out.
//!
//! Each prints `listening on ADDRESS` once it serves, so that a test can pick port 0.

use crate::{
    platform::server::Platform,
    site,
    worker::server::{Worker, WorkerSwitches},
};
use actix_rt::net::TcpListener;
use clap::{Parser, Subcommand};
use eyre::Result;
use lapisdrum::core::size::Size;
use std::{net::SocketAddr, rc::Rc};
use tokio::sync::watch;

/// Stand-ins for the platform and for workers.
#[derive(Debug, Parser)]
pub struct Args {
    /// Which stand-in.
    #[command(subcommand)]
    kind: Kind,
}

#[derive(Debug, Subcommand)]
enum Kind {
    /// The transactional table, the object store and the membership list.
    Platform {
        /// Where to listen.
        #[arg(long)]
        listen: SocketAddr,
    },
    /// A platform and the workers that its list of hosts names, in one process.
    Site {
        /// Where the platform listens; the workers take free ports of the same IP number.
        #[arg(long)]
        listen: SocketAddr,
        /// How many workers.
        #[arg(long, default_value_t = 2)]
        workers: usize,
        /// Their data centre.
        #[arg(long, default_value = "local")]
        data_centre: String,
    },
    /// Many workers in one process, each on a port of its own.
    Workers {
        /// Where the first listens; the others take free ports of the same IP number.
        #[arg(long)]
        listen: SocketAddr,
        /// How many.
        #[arg(long)]
        count: usize,
    },
    /// A worker.
    Worker {
        /// Where to listen.
        #[arg(long)]
        listen: SocketAddr,
        /// Processors.
        #[arg(long, default_value_t = 16)]
        cores: u64,
        /// Memory in megabytes.
        #[arg(long, default_value_t = 60_000)]
        memory_mb: u64,
        /// Accelerators.
        #[arg(long, default_value_t = 0)]
        accelerators: u64,
        /// Requests at once.
        #[arg(long, default_value_t = 8)]
        slots: u32,
    },
}

/// Serves until the process is ended.
pub async fn run(args: Args) -> Result<()> {
    // Never sent: the process is ended from outside.
    let (_stop, stopped) = watch::channel(false);
    match args.kind {
        Kind::Platform { listen } => {
            let listener = bind(listen).await?;
            Rc::new(Platform::default()).serve(listener, stopped).await;
        }
        Kind::Site {
            listen,
            workers,
            data_centre,
        } => {
            let listener = bind(listen).await?;
            let platform = Rc::new(Platform::default());
            for i in 1..=workers {
                let (name, rack) = (format!("worker-{i}"), format!("rack-{i}"));
                let worker = bind(SocketAddr::new(listen.ip(), 0)).await?;
                let host = site::host(&name, worker.local_addr()?, &data_centre, &rack);
                platform.hosts.borrow_mut().push(host);
                actix_rt::spawn(usual_worker().serve(worker, stopped.clone()));
            }
            platform.serve(listener, stopped).await;
        }
        Kind::Workers { listen, count } => {
            let mut serving = Vec::new();
            for i in 0..count {
                let port = if i == 0 { listen.port() } else { 0 };
                let listener = bind(SocketAddr::new(listen.ip(), port)).await?;
                serving.push(usual_worker().serve(listener, stopped.clone()));
            }
            futures::future::join_all(serving).await;
        }
        Kind::Worker {
            listen,
            cores,
            memory_mb,
            accelerators,
            slots,
        } => {
            let capacity = Size {
                millicores: cores * 1_000,
                memory_mb,
                accelerators,
            };
            let worker = Worker::new(capacity, slots, WorkerSwitches::default());
            worker.serve(bind(listen).await?, stopped).await;
        }
    }
    Ok(())
}

async fn bind(listen: SocketAddr) -> Result<TcpListener> {
    let listener = TcpListener::bind(listen).await?;
    println!("listening on {}", listener.local_addr()?);
    Ok(listener)
}

/// A worker of the size that [`site::host`] lists.
fn usual_worker() -> Rc<Worker> {
    let capacity = Size {
        millicores: 16_000,
        memory_mb: 60_000,
        accelerators: 0,
    };
    Worker::new(capacity, 8, WorkerSwitches::default())
}
