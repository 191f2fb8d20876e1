use rand::{Rng, rngs::SmallRng};
use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Identifies a caller across its connections.
    pub(crate) struct CallerKey;
}

/// A caller and its current connection.
#[derive(Debug, Clone)]
pub(crate) struct ModelCaller {
    /// The target that accepted the connection.
    pub(crate) home: Option<usize>,
    /// The candidate targets of its first packet, in order.
    pub(crate) candidates: Vec<usize>,
    /// The index of the candidate that the first packet has reached.
    pub(crate) position: usize,
    /// The number of connections accepted so far.
    pub(crate) generation: u32,
    /// The connection ID in its first packets.
    pub(crate) cid: u64,
}

/// All callers; random draws are weighted by request volume.
#[derive(Debug, Default)]
pub(crate) struct CallerPopulation {
    callers: SlotMap<CallerKey, ModelCaller>,
    light: Vec<CallerKey>,
    heavy: Vec<CallerKey>,
}

impl CallerPopulation {
    /// The percentage of heavy callers.
    const HEAVY_PERCENT: usize = 5;
    /// Requests of a heavy caller for each request of a light one.
    const HEAVY_FACTOR: usize = 20;

    /// Adds a caller; every 20th is heavy.
    pub(crate) fn insert(&mut self) -> CallerKey {
        let count = self.callers.len();
        let list = if count.is_multiple_of(100 / Self::HEAVY_PERCENT) {
            &mut self.heavy
        } else {
            &mut self.light
        };
        let caller = ModelCaller {
            home: None,
            candidates: Vec::new(),
            position: 0,
            generation: 0,
            cid: 0,
        };
        let key = self.callers.insert(caller);
        list.push(key);
        key
    }

    pub(crate) fn get(&self, key: CallerKey) -> Option<&ModelCaller> {
        self.callers.get(key)
    }

    pub(crate) fn get_mut(&mut self, key: CallerKey) -> Option<&mut ModelCaller> {
        self.callers.get_mut(key)
    }

    /// Draws a caller, weighted by request volume.
    pub(crate) fn draw(&self, rng: &mut SmallRng) -> Option<CallerKey> {
        let heavy = self.heavy.len() * Self::HEAVY_FACTOR;
        let total = heavy + self.light.len();
        if total == 0 {
            return None;
        }
        let index = rng.random_range(0..total);
        if index < heavy {
            Some(self.heavy[index / Self::HEAVY_FACTOR])
        } else {
            Some(self.light[index - heavy])
        }
    }
}
