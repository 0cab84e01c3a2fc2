//! Stand-ins as processes of their own: `standins platform`, `standins worker`, and `standins site`,
//! a platform with its workers for trying things out.
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
        /// Where the platform listens.
        #[arg(long)]
        listen: SocketAddr,
        /// How many workers.
        #[arg(long, default_value_t = 2)]
        workers: usize,
        /// Their data centre.
        #[arg(long, default_value = "local")]
        data_centre: String,
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
    let (stop, stopped) = watch::channel(false);
    let (Kind::Platform { listen } | Kind::Site { listen, .. } | Kind::Worker { listen, .. }) =
        args.kind;
    let listener = TcpListener::bind(listen).await?;
    println!("listening on {}", listener.local_addr()?);
    match args.kind {
        Kind::Platform { .. } => Rc::new(Platform::default()).serve(listener, stopped).await,
        Kind::Site {
            workers,
            data_centre,
            ..
        } => {
            let platform = Rc::new(Platform::default());
            for i in 1..=workers {
                let address = start_worker(&stopped).await?;
                let host = site::host(
                    &format!("worker-{i}"),
                    address,
                    &data_centre,
                    &format!("rack-{i}"),
                );
                platform.hosts.borrow_mut().push(host);
            }
            platform.serve(listener, stopped).await;
        }
        Kind::Worker {
            cores,
            memory_mb,
            accelerators,
            slots,
            ..
        } => {
            let capacity = Size {
                millicores: cores * 1_000,
                memory_mb,
                accelerators,
            };
            let worker = Worker::new(capacity, slots, WorkerSwitches::default());
            worker.serve(listener, stopped).await;
        }
    }
    drop(stop);
    Ok(())
}

/// A worker of a site, of the size that its host entry gives.
async fn start_worker(stopped: &watch::Receiver<bool>) -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let capacity = Size {
        millicores: 16_000,
        memory_mb: 60_000,
        accelerators: 0,
    };
    let worker = Worker::new(capacity, 8, WorkerSwitches::default());
    actix_rt::spawn(worker.serve(listener, stopped.clone()));
    Ok(address)
}
