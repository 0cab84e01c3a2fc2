//! A small site for tests and examples: addresses on loopback, settings files, host entries.

use lapisdrum::store::wire::HostWire;
use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
};
use tokio::net::TcpSocket;

/// A loopback address of its own with a port that is free now. A random host part keeps two test
/// runs on one machine, and a port that is taken again, apart.
pub fn free_address() -> SocketAddr {
    let ip = Ipv4Addr::new(
        127,
        rand::random_range(1..=250),
        rand::random(),
        rand::random_range(2..=250),
    );
    free_port(ip).unwrap_or_else(|e| panic!("no free loopback port: {e}"))
}

/// Binds and never listens. A listening socket that another test's fork copies stays open in the
/// child until its exec, and whoever binds the port in between finds it in use; one that was only
/// bound, for reuse, stands in nobody's way.
fn free_port(ip: Ipv4Addr) -> io::Result<SocketAddr> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(SocketAddr::from((ip, 0)))?;
    socket.local_addr()
}

/// What a daemon of a test needs to know.
#[derive(Clone, Debug)]
pub struct DaemonPlan {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where other daemons reach it.
    pub peers: SocketAddr,
    /// The platform.
    pub platform: SocketAddr,
    /// Peers to ask first while the platform is away.
    pub ask_first: Vec<SocketAddr>,
    /// Time between two reads of the membership list, in milliseconds.
    pub poll_ms: u64,
    /// More settings as TOML tables, such as `[shards]`.
    pub more: String,
}

impl DaemonPlan {
    /// A daemon on free addresses.
    pub fn new(name: &str, data_centre: &str, platform: SocketAddr) -> Self {
        Self {
            name: name.to_owned(),
            data_centre: data_centre.to_owned(),
            callers: free_address(),
            peers: free_address(),
            platform,
            ask_first: Vec::new(),
            poll_ms: QUICK_POLL_MS,
            more: QUICK.to_owned(),
        }
    }

    /// Its settings file.
    pub fn settings(&self) -> String {
        let asked = self
            .ask_first
            .iter()
            .map(|address| format!("\"{address}\""));
        let asked: Vec<String> = asked.collect();
        format!(
            "[daemon]\nname = \"{}\"\ndata_centre = \"{}\"\ncallers = \"{}\"\npeers = \"{}\"\n\
             ask_first = [{}]\n\n\
             [platform]\naddress = \"{}\"\ntimeout_ms = 500\npoll_ms = {}\n\n{}",
            self.name,
            self.data_centre,
            self.callers,
            self.peers,
            asked.join(", "),
            self.platform,
            self.poll_ms,
            self.more
        )
    }
}

/// A shorter interval than the default, for tests.
const QUICK_POLL_MS: u64 = 200;

/// Shorter intervals than the defaults, so that a test takes seconds.
pub const QUICK: &str = "\
[log]
level = \"warn\"

[shards]
lease_ms = 1500
renew_ms = 250
task_lease_ms = 3000
task_renew_ms = 250
usage_ms = 250
linger_urgent_ms = 2
linger_batch_ms = 10
write_spacing_ms = 10
checkpoint_ms = 250
leaving_grace_ms = 1000

[catalogue]
poll_ms = 250

[requests]
grant_poll_ms = 250
";

/// A live worker's line in the membership list.
pub fn host(name: &str, address: SocketAddr, data_centre: &str, rack: &str) -> HostWire {
    HostWire {
        host: name.to_owned(),
        address: address.to_string(),
        data_centre: data_centre.to_owned(),
        rack: rack.to_owned(),
        state: "live".to_owned(),
        cores: 16,
        memory_mb: 60_000,
        accelerators: 0,
        slots: 8,
        connections: 64,
    }
}
