use rand::{Rng, rngs::SmallRng};
use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Names a caller and its present connection.
    pub(crate) struct ConnectionKey;
}

/// A caller and the target that keeps its connection.
#[derive(Debug, Clone)]
pub(crate) struct ModelConnection {
    /// The target, once one accepted.
    pub(crate) home: Option<usize>,
    /// The candidates of its first packet.
    pub(crate) chain: Vec<usize>,
    /// The place of the candidate that decides on it.
    pub(crate) place: usize,
    /// Counts the connections that this caller has had.
    pub(crate) renewals: u32,
    /// The ID that its first packets carry.
    pub(crate) cid: u64,
}

/// All callers, drawn by how much they send.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    connections: SlotMap<ConnectionKey, ModelConnection>,
    light: Vec<ConnectionKey>,
    heavy: Vec<ConnectionKey>,
}

impl ConnectionPool {
    /// Heavy callers in a hundred.
    const HEAVY_PERCENT: usize = 5;
    /// What a heavy caller sends for each request of a light one.
    const HEAVY_FACTOR: usize = 20;

    /// Adds a caller, light or heavy by its place.
    pub(crate) fn insert(&mut self) -> ConnectionKey {
        let count = self.connections.len();
        let list = if count.is_multiple_of(100 / Self::HEAVY_PERCENT) {
            &mut self.heavy
        } else {
            &mut self.light
        };
        let connection = ModelConnection {
            home: None,
            chain: Vec::new(),
            place: 0,
            renewals: 0,
            cid: 0,
        };
        let key = self.connections.insert(connection);
        list.push(key);
        key
    }

    /// Returns a caller.
    pub(crate) fn get(&self, key: ConnectionKey) -> Option<&ModelConnection> {
        self.connections.get(key)
    }

    /// Returns a caller to change it.
    pub(crate) fn get_mut(&mut self, key: ConnectionKey) -> Option<&mut ModelConnection> {
        self.connections.get_mut(key)
    }

    /// Draws a caller by how much it sends.
    pub(crate) fn draw(&self, random: &mut SmallRng) -> Option<ConnectionKey> {
        let heavy = self.heavy.len() * Self::HEAVY_FACTOR;
        let total = heavy + self.light.len();
        if total == 0 {
            return None;
        }
        let ticket = random.random_range(0..total);
        if ticket < heavy {
            Some(self.heavy[ticket / Self::HEAVY_FACTOR])
        } else {
            Some(self.light[ticket - heavy])
        }
    }
}
