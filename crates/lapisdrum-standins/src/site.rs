//! Loopback addresses, daemon settings and membership entries for tests and examples.

use lapisdrum::store::wire::HostWire;
use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
};
use tokio::net::TcpSocket;

/// A random loopback address with a free port. The random host part avoids collisions between test
/// runs on one host, and between a port and its later reuse.
pub fn free_address() -> SocketAddr {
    let ip = Ipv4Addr::new(
        127,
        rand::random_range(1..=250),
        rand::random(),
        rand::random_range(2..=250),
    );
    free_port(ip).unwrap_or_else(|e| panic!("no free loopback port: {e}"))
}

/// Binds without listening. If another test forks while a socket listens, the child holds the copy
/// until its exec, and binding the port fails with "address in use"; a socket that is only bound,
/// with `SO_REUSEADDR`, does not block the port.
fn free_port(ip: Ipv4Addr) -> io::Result<SocketAddr> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(SocketAddr::from((ip, 0)))?;
    socket.local_addr()
}

/// Settings of a daemon in a test.
#[derive(Clone, Debug)]
pub struct DaemonPlan {
    /// Name of the daemon.
    pub name: String,
    /// Data centre of the daemon.
    pub data_centre: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other daemons.
    pub peers: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Peers to ask first while the platform is unavailable.
    pub ask_first: Vec<SocketAddr>,
    /// Interval between reads of the membership list, in milliseconds.
    pub poll_ms: u64,
    /// Further settings as TOML tables, such as `[shards]`.
    pub extra_settings: String,
}

impl DaemonPlan {
    /// A daemon on free addresses with the settings in [`FAST_SETTINGS`].
    pub fn new(name: &str, data_centre: &str, platform: SocketAddr) -> Self {
        Self {
            name: name.to_owned(),
            data_centre: data_centre.to_owned(),
            callers: free_address(),
            peers: free_address(),
            platform,
            ask_first: Vec::new(),
            poll_ms: FAST_POLL_MS,
            extra_settings: FAST_SETTINGS.to_owned(),
        }
    }

    /// The text of the daemon's settings file.
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
            self.extra_settings
        )
    }
}

/// Shorter than the default, so that tests see membership changes sooner.
const FAST_POLL_MS: u64 = 200;

/// Settings with shorter intervals than the defaults, so that a test takes seconds.
pub const FAST_SETTINGS: &str = "\
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

/// The membership entry of a live worker with 16 cores, 60,000 MB of memory and 8 slots.
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
