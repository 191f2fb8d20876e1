//! Loopback addresses that a test keeps while its processes come and go.

use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};

/// The port whose holder owns a block of addresses.
const BLOCK_PORT: u16 = 65_000;
/// The blocks that are tried before a test gives up.
const MOST_BLOCKS: u32 = 50_000;

/// A block of loopback addresses that no other test holds.
///
/// A free port of 127.0.0.1 would not do: while a process is down, the system
/// may give its port to somebody's outgoing connection.
pub struct LoopbackBlock {
    octets: (u8, u8),
    _reservation: TcpListener,
}

impl LoopbackBlock {
    /// Reserves a block until this is dropped.
    pub fn reserve() -> Self {
        let start = std::process::id();
        for attempt in 0..MOST_BLOCKS {
            let block = start.wrapping_add(attempt) % MOST_BLOCKS + 256;
            let [_, _, high, low] = block.to_be_bytes();
            let address = (Ipv4Addr::new(127, high, low, 254), BLOCK_PORT);
            if let Ok(reservation) = TcpListener::bind(address) {
                return Self {
                    octets: (high, low),
                    _reservation: reservation,
                };
            }
        }
        panic!("every block of loopback addresses is taken");
    }

    /// Returns an address of the block.
    pub fn address(&self, last: u8, port: u16) -> SocketAddrV4 {
        let (high, low) = self.octets;
        SocketAddrV4::new(Ipv4Addr::new(127, high, low, last), port)
    }
}
