//! Generational arenas with small `Copy` keys; a key becomes invalid when its item is removed.

use std::marker::PhantomData;

/// A small `Copy` key: a slot index and the generation of that slot.
pub trait Key: Copy + Eq + std::hash::Hash + std::fmt::Debug {
    /// Builds a key from an index and a generation.
    fn new(index: u32, generation: u32) -> Self;
    /// Returns the index of the slot.
    fn index(self) -> usize;
    /// Returns the generation that the slot had when the key was created.
    fn generation(self) -> u32;
}

macro_rules! keys {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name { index: u32, generation: u32 }

        impl Key for $name {
            fn new(index: u32, generation: u32) -> Self {
                Self { index, generation }
            }
            fn index(self) -> usize {
                self.index as usize
            }
            fn generation(self) -> u32 {
                self.generation
            }
        }
    )*};
}

keys! {
    /// Key of an upstream, stable across configuration versions.
    UpstreamKey;
    /// Key of a service within one catalog.
    ServiceKey;
    /// Key of the server pool of a service or shard, stable across route table versions.
    PoolKey;
    /// Key of a route, stable across route table versions.
    RouteKey;
    /// Key of one run of one server; a restarted server gets a new key.
    ServerKey;
    /// Key of an open connection of a caller.
    CallerKey;
}

#[derive(Clone)]
struct Slot<T> {
    generation: u32,
    item: Option<T>,
}

/// An arena that stores items in one vector, addressed by keys of type `K`.
#[derive(Clone)]
pub struct Arena<K, T> {
    slots: Vec<Slot<T>>,
    free: Vec<u32>,
    key: PhantomData<K>,
}

impl<K: Key, T> Default for Arena<K, T> {
    fn default() -> Self {
        Self { slots: Vec::new(), free: Vec::new(), key: PhantomData }
    }
}

impl<K: Key, T> Arena<K, T> {
    /// Stores an item and returns its key.
    pub fn insert(&mut self, item: T) -> K {
        if let Some(index) = self.free.pop() {
            let slot = &mut self.slots[index as usize];
            slot.item = Some(item);
            return K::new(index, slot.generation);
        }
        self.slots.push(Slot { generation: 0, item: Some(item) });
        K::new(self.slots.len() as u32 - 1, 0)
    }

    /// Returns the item, unless it was removed.
    pub fn get(&self, key: K) -> Option<&T> {
        let slot = self.slots.get(key.index())?;
        slot.item.as_ref().filter(|_| slot.generation == key.generation())
    }

    /// Returns a mutable reference to the item, unless it was removed.
    pub fn get_mut(&mut self, key: K) -> Option<&mut T> {
        let slot = self.slots.get_mut(key.index())?;
        slot.item.as_mut().filter(|_| slot.generation == key.generation())
    }

    /// Removes the item and invalidates its key.
    pub fn remove(&mut self, key: K) -> Option<T> {
        let slot = self.slots.get_mut(key.index())?;
        if slot.generation != key.generation() {
            return None;
        }
        let item = slot.item.take()?;
        slot.generation = slot.generation.wrapping_add(1);
        self.free.push(key.index() as u32);
        Some(item)
    }

    /// Iterates over all items with their keys.
    pub fn iter(&self) -> impl Iterator<Item = (K, &T)> {
        self.slots
            .iter()
            .enumerate()
            .filter_map(|(i, slot)| Some((K::new(i as u32, slot.generation), slot.item.as_ref()?)))
    }

    /// Returns the number of items.
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Returns whether the arena is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
