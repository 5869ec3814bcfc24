//! Notices of long prompts between gateways.
//!
//! All gateways place requests at the same engines and each sees only its own. A gateway that sends a long prompt to an
//! engine tells the others at once, in one datagram each. Datagrams may be lost: the others then place as if the
//! prompt did not exist, which costs time and breaks nothing. The rate is bounded, so that the processor time for
//! notices does not grow with the square of the fleet.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use futures_util::FutureExt;
use monoio::net::udp::UdpSocket;
use prost::Message;

use super::Shared;

/// Prompts that take at least this long to read are worth a notice, in milliseconds.
const MIN_READING_MS: f64 = 3.0;

/// Prompts that take at least this long are always worth a notice; engines can read only a few of them in a second.
const LONG_READING_MS: f64 = 25.0;

/// Notices of shorter prompts that all gateways together send to one gateway in a second; receiving one takes some
/// 10 µs.
const RECEIVED_PER_S: u64 = 400;

/// Largest datagram.
const MAX_BYTES: usize = 512;

/// A prompt that was sent to an engine.
#[derive(Clone, PartialEq, Message)]
struct Notice {
    /// Id of the engine.
    #[prost(string, tag = "1")]
    upstream: String,
    /// Hash of the shared part of the prompt.
    #[prost(fixed64, tag = "2")]
    session: u64,
    /// Time in which the engine reads the prompt, in microseconds.
    #[prost(uint64, tag = "3")]
    reading_us: u64,
}

/// The socket for notices.
pub(super) struct Notices {
    socket: UdpSocket,
    address: Option<SocketAddr>,
    /// Notices that may be sent now, in thousandths, and when that was counted.
    credit_millis: Cell<u64>,
    credited_ms: Cell<u64>,
}

impl Notices {
    /// Opens the socket.
    ///
    /// # Errors
    ///
    /// Returns the error of the kernel, for example that the address is in use.
    pub(super) fn open(address: &str) -> io::Result<Self> {
        let address: SocketAddr = address
            .parse()
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidInput, error))?;
        let socket = UdpSocket::bind(address)?;
        let address = socket.local_addr().ok();
        Ok(Self {
            socket,
            address,
            credit_millis: Cell::new(0),
            credited_ms: Cell::new(0),
        })
    }

    /// Returns the address for the notices of others.
    pub(super) fn address(&self) -> Option<SocketAddr> {
        self.address
    }

    /// Tells the other gateways of a prompt.
    pub(super) fn send(&self, shared: &Shared, upstream: &str, session: u64, reading_ms: f64) {
        let is_long = reading_ms >= LONG_READING_MS;
        if reading_ms < MIN_READING_MS || (!self.take_credit(shared) && !is_long) {
            return;
        }
        let notice = Notice {
            upstream: upstream.into(),
            session,
            reading_us: (reading_ms * 1_000.0) as u64,
        };
        let content = notice.encode_to_vec();
        for peer in shared.routers.borrow().peers(&shared.settings.vm) {
            // A datagram that the kernel cannot take now is dropped like one that is lost on the way.
            let _ = self.socket.send_to(content.clone(), peer).now_or_never();
        }
    }

    /// Takes a notice from this gateway's part of the bound.
    fn take_credit(&self, shared: &Shared) -> bool {
        let now_ms = shared.now_ms();
        let elapsed_ms = now_ms.saturating_sub(self.credited_ms.replace(now_ms));
        let per_s = RECEIVED_PER_S / shared.routers.borrow().count().max(1);
        let limit = per_s.max(1) * 1_000;
        let credit = (self.credit_millis.get() + elapsed_ms * per_s).min(limit);
        let is_enough = credit >= 1_000;
        self.credit_millis.set(if is_enough { credit - 1_000 } else { credit });
        is_enough
    }
}

/// Takes the notices of other gateways until the process ends.
pub(super) async fn receive(shared: Rc<Shared>) {
    let mut buffer = Vec::with_capacity(MAX_BYTES);
    loop {
        let (result, filled) = shared.notices.socket.recv_from(buffer).await;
        buffer = filled;
        match result {
            Ok((count, peer)) => match Notice::decode(&buffer[..count]) {
                Ok(notice) => {
                    let reading_ms = notice.reading_us as f64 / 1_000.0;
                    let now_ms = shared.now_ms();
                    shared.metrics.add("notices_received", 1);
                    let mut placement = shared.placement.borrow_mut();
                    placement.peer_sent(&notice.upstream, notice.session, reading_ms, now_ms);
                }
                Err(error) => {
                    log::debug!(step = "notice", peer = peer.to_string().as_str(); "{error}");
                }
            },
            Err(error) => log::debug!(step = "notice"; "{error}"),
        }
        buffer.clear();
    }
}
