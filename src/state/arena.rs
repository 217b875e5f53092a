//! Arenas with small `Copy` keys: dense storage, and keys that go stale when their item is removed.

use std::marker::PhantomData;

/// A small `Copy` key: an index into an arena and the generation of that place.
pub trait Key: Copy + Eq + std::hash::Hash + std::fmt::Debug {
    /// Builds a key from an index and a generation.
    fn new(index: u32, generation: u32) -> Self;
    /// Returns the index of the place.
    fn index(self) -> usize;
    /// Returns the generation of the place when the key was made.
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
    /// Key of an upstream; it stays the same across configuration versions.
    UpstreamKey;
    /// Key of a service within one catalog.
    ServiceKey;
    /// Key of the servers of one service; the same in all versions of the routes.
    PoolKey;
    /// Key of a route; the same in all versions of the routes.
    RouteKey;
    /// Key of one run of one server.
    ServerKey;
}

#[derive(Clone)]
struct Slot<T> {
    generation: u32,
    item: Option<T>,
}

/// An arena: items in one vector, named by keys of type `K`.
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

    /// Returns the item for changing, unless it was removed.
    pub fn get_mut(&mut self, key: K) -> Option<&mut T> {
        let slot = self.slots.get_mut(key.index())?;
        slot.item.as_mut().filter(|_| slot.generation == key.generation())
    }

    /// Takes the item out; its key and all copies of it go stale.
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

    /// Walks over all items with their keys.
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

    /// Says whether the arena holds no item.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
