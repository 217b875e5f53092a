//! A map from names to items that keeps insertion order and rejects duplicate names when deserialized.

use std::fmt;
use std::marker::PhantomData;
use std::ops::{Deref, DerefMut};

use indexmap::IndexMap;
use serde::de::{Deserialize, Deserializer, Error, MapAccess, Visitor};
use serde::{Serialize, Serializer};

/// Items by name, in the order of the source text.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedMap<T>(pub IndexMap<String, T>);

impl<T> Default for NamedMap<T> {
    fn default() -> Self {
        Self(IndexMap::new())
    }
}

impl<T> Deref for NamedMap<T> {
    type Target = IndexMap<String, T>;

    fn deref(&self) -> &Self::Target {
        &self.0
    }
}

impl<T> DerefMut for NamedMap<T> {
    fn deref_mut(&mut self) -> &mut Self::Target {
        &mut self.0
    }
}

impl<T> FromIterator<(String, T)> for NamedMap<T> {
    fn from_iter<I: IntoIterator<Item = (String, T)>>(iter: I) -> Self {
        Self(iter.into_iter().collect())
    }
}

impl<T: Serialize> Serialize for NamedMap<T> {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        self.0.serialize(s)
    }
}

impl<'de, T: Deserialize<'de>> Deserialize<'de> for NamedMap<T> {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        d.deserialize_map(NamedMapVisitor(PhantomData))
    }
}

struct NamedMapVisitor<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for NamedMapVisitor<T> {
    type Value = NamedMap<T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a map with each name once")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<NamedMap<T>, A::Error> {
        let mut items = IndexMap::new();
        while let Some((name, item)) = map.next_entry::<String, T>()? {
            if items.contains_key(&name) {
                return Err(A::Error::custom(format!("the name `{name}` is given twice")));
            }
            items.insert(name, item);
        }
        Ok(NamedMap(items))
    }
}
