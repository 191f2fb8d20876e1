//! Loopback addresses that stay reserved while a test restarts its processes.

use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};

/// The port that a test binds to reserve a block of addresses.
const BLOCK_PORT: u16 = 65_000;
/// The number of blocks to try before giving up.
const MOST_BLOCKS: u32 = 50_000;

/// A block of loopback addresses that no other test uses.
///
/// A free port of 127.0.0.1 is not enough: while a process is down, the system
/// may assign its port to an outgoing connection of another process.
pub struct LoopbackBlock {
    octets: (u8, u8),
    _reservation: TcpListener,
}

impl LoopbackBlock {
    /// Reserves a block until the value is dropped.
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
        panic!("every block of loopback addresses is in use");
    }

    /// Returns the address of the block with this last octet and port.
    pub fn address(&self, last: u8, port: u16) -> SocketAddrV4 {
        let (high, low) = self.octets;
        SocketAddrV4::new(Ipv4Addr::new(127, high, low, last), port)
    }
}
