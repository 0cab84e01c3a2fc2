//! Stand-ins as separate processes: `standins platform`, `standins worker`, `standins workers` for
//! several workers in one process, and `standins site` for a platform with its workers.
//!
//! Each prints `listening on ADDRESS` once it listens, so that a test can ask for port 0.

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
    /// The stand-in to run.
    #[command(subcommand)]
    kind: Kind,
}

#[derive(Debug, Subcommand)]
enum Kind {
    /// The transactional table, the object store and the membership list.
    Platform {
        /// Address to listen on.
        #[arg(long)]
        listen: SocketAddr,
    },
    /// A platform and the workers in its membership list, in one process.
    Site {
        /// Address of the platform; the workers take free ports of the same IP address.
        #[arg(long)]
        listen: SocketAddr,
        /// Number of workers.
        #[arg(long, default_value_t = 2)]
        workers: usize,
        /// Data centre of the workers.
        #[arg(long, default_value = "local")]
        data_centre: String,
    },
    /// Several workers in one process, each on its own port.
    Workers {
        /// Address of the first worker; the others take free ports of the same IP address.
        #[arg(long)]
        listen: SocketAddr,
        /// Number of workers.
        #[arg(long)]
        count: usize,
    },
    /// One worker.
    Worker {
        /// Address to listen on.
        #[arg(long)]
        listen: SocketAddr,
        /// Number of processors.
        #[arg(long, default_value_t = 16)]
        cores: u64,
        /// Memory in megabytes.
        #[arg(long, default_value_t = 60_000)]
        memory_mb: u64,
        /// Number of accelerators.
        #[arg(long, default_value_t = 0)]
        accelerators: u64,
        /// Largest number of concurrent requests.
        #[arg(long, default_value_t = 8)]
        slots: u32,
    },
}

/// Serves until the process is terminated.
pub async fn run(args: Args) -> Result<()> {
    // Never signalled: the process is terminated from outside.
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
                actix_rt::spawn(default_worker().serve(worker, stopped.clone()));
            }
            platform.serve(listener, stopped).await;
        }
        Kind::Workers { listen, count } => {
            let mut serving = Vec::new();
            for i in 0..count {
                let port = if i == 0 { listen.port() } else { 0 };
                let listener = bind(SocketAddr::new(listen.ip(), port)).await?;
                serving.push(default_worker().serve(listener, stopped.clone()));
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

/// A worker with the capacity that [`site::host`] lists.
fn default_worker() -> Rc<Worker> {
    let capacity = Size {
        millicores: 16_000,
        memory_mb: 60_000,
        accelerators: 0,
    };
    Worker::new(capacity, 8, WorkerSwitches::default())
}
