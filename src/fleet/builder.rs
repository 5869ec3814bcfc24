//! Builder of a fleet connection.

use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

use monoio::net::TcpListener;
use rand::{Rng, TryRngCore};

use super::{peers, periodic, reader, restore, writer, Error, Fleet, Inner};
use crate::log_client::{LogClient, LogService};
use crate::settings::Settings;
use crate::vm_list::{VmList, VmListClient};

/// Builder of a [`Fleet`], in which the services, the advertised address and the random seed can be replaced.
pub struct FleetBuilder {
    settings: Settings,
    advertised_address: Option<String>,
    log: Option<Rc<dyn LogService>>,
    vm_list: Option<Rc<dyn VmList>>,
    seed: Option<u64>,
}

impl FleetBuilder {
    /// Creates a builder that uses the platform services of the settings.
    pub fn new(settings: &Settings) -> Self {
        Self {
            settings: settings.clone(),
            advertised_address: None,
            log: None,
            vm_list: None,
            seed: None,
        }
    }

    /// Sets the address that is published to peers; the default is derived from the listener.
    pub fn advertised_address(mut self, address: impl Into<String>) -> Self {
        self.advertised_address = Some(address.into());
        self
    }

    /// Replaces the client of the log.
    pub fn log(mut self, log: Rc<dyn LogService>) -> Self {
        self.log = Some(log);
        self
    }

    /// Replaces the client of the VM list.
    pub fn vm_list(mut self, vm_list: Rc<dyn VmList>) -> Self {
        self.vm_list = Some(vm_list);
        self
    }

    /// Sets the seed of incarnation ids and jitter; the default is a random number from the operating system.
    ///
    /// Two processes with the same seed would share an incarnation id, so this is for tests only.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = Some(seed);
        self
    }

    /// Opens the listener and starts all tasks on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener cannot be opened or no address for peers is found.
    pub fn start(self) -> Result<Fleet, Error> {
        let settings = self.settings;
        let listen = settings.listen.peers.as_str();
        let listen_error = |error: std::io::Error| Error::Listen(listen.into(), error.to_string());
        let listener = TcpListener::bind(listen).map_err(listen_error)?;
        let address = match self.advertised_address {
            Some(address) => address,
            None => {
                let address = listener.local_addr().map_err(listen_error)?;
                reachable_address(address, &settings.platform.log)
                    .map_err(listen_error)?
                    .to_string()
            }
        };
        let timeout = Duration::from_millis(settings.timing.append_timeout_ms);
        let vm = settings.vm.as_str();
        let log = self
            .log
            .unwrap_or_else(|| Rc::new(LogClient::new(&settings.platform.log, vm, timeout)));
        let vm_list = self
            .vm_list
            .unwrap_or_else(|| Rc::new(VmListClient::new(&settings.platform.vm_list, vm, timeout)));
        let seed = self.seed.unwrap_or_else(random_seed);
        let inner = Rc::new(Inner::new(settings, address, log, vm_list, seed));
        inner.write_open();
        spawn(&inner, writer::run(inner.clone()));
        spawn(&inner, reader::run(inner.clone()));
        spawn(&inner, restore::request_snapshots(inner.clone()));
        spawn(&inner, peers::accept(inner.clone(), listener));
        spawn(&inner, peers::dial(inner.clone()));
        spawn(&inner, periodic::run(inner.clone()));
        Ok(Fleet { inner })
    }
}

/// Returns the address at which peers reach a listener.
///
/// For a listener on all interfaces this is the local address from which the VM reaches the platform. Connecting a
/// datagram socket looks up that route in the kernel and sends no packet.
fn reachable_address(listener: SocketAddr, platform: &str) -> std::io::Result<SocketAddr> {
    if !listener.ip().is_unspecified() {
        return Ok(listener);
    }
    let socket = UdpSocket::bind((listener.ip(), 0))?;
    socket.connect(platform)?;
    Ok(SocketAddr::new(socket.local_addr()?.ip(), listener.port()))
}

/// Spawns a task that is cancelled when the fleet connection is stopped.
pub(super) fn spawn(inner: &Rc<Inner>, task: impl std::future::Future<Output = ()> + 'static) {
    let inner = inner.clone();
    monoio::spawn(async move { inner.run_until_stopped(task).await });
}

fn random_seed() -> u64 {
    // If the operating system has no random source, the seed is derived from the process id. Two VMs can then use the
    // same incarnation id.
    rand::rngs::OsRng
        .try_next_u64()
        .unwrap_or_else(|_| rand_pcg::Pcg64Mcg::new(std::process::id().into()).random())
}
