//! Splits a document's text into named objects.
//!
//! An object is a named item of a top-level list, or any other top-level value. The code is
//! independent of the document's schema, so a new kind of object needs no change here.

use std::{collections::BTreeMap, hash::Hasher};

use derive_more::Display;
use serde::{Deserialize, Serialize};
use serde_norway::{Mapping, Value};
use xxhash_rust::xxh3::Xxh3Default;

/// Key of an object: `services/ledger` for an item of a list, `policy` for any other value.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ObjectKey(String);

impl ObjectKey {
    fn item(list: &str, name: &str) -> Self {
        Self(format!("{list}/{name}"))
    }

    fn split(&self) -> (&str, Option<&str>) {
        match self.0.split_once('/') {
            Some((list, name)) => (list, Some(name)),
            None => (&self.0, None),
        }
    }
}

/// Objects of one document.
#[derive(Clone, Debug, Default)]
pub(crate) struct Objects {
    values: BTreeMap<ObjectKey, Value>,
}

impl Objects {
    pub(crate) fn keys(&self) -> impl Iterator<Item = &ObjectKey> {
        self.values.keys()
    }

    pub(crate) fn digest(&self, key: &ObjectKey) -> Option<u64> {
        self.values.get(key).map(digest)
    }
}

/// Splits a text into its objects. Returns `None` unless the text is a mapping with text keys.
pub(crate) fn parse(text: &str) -> Option<Objects> {
    let root: Mapping = serde_norway::from_str(text).ok()?;
    let mut values = BTreeMap::new();
    for (key, value) in root {
        let list = key.as_str()?.to_owned();
        match named_items(&value) {
            Some(items) => {
                for (name, item) in items {
                    values.insert(ObjectKey::item(&list, name), item.clone());
                }
            }
            None => {
                values.insert(ObjectKey(list), value);
            }
        }
    }
    Some(Objects { values })
}

/// Replaces the changed objects in the current text. Returns the new text.
pub(crate) fn merge(current: &str, new: &Objects, changed: &[ObjectKey]) -> Option<String> {
    let mut root: Mapping = serde_norway::from_str(current).ok()?;
    for key in changed {
        let value = new.values.get(key).cloned();
        match key.split() {
            (list, Some(name)) => set_item(&mut root, list, name, value)?,
            (top, None) => set_top(&mut root, top, value),
        }
    }
    serde_norway::to_string(&root).ok()
}

fn set_top(root: &mut Mapping, key: &str, value: Option<Value>) {
    match value {
        Some(value) => root.insert(key.into(), value),
        None => root.remove(key),
    };
}

fn set_item(root: &mut Mapping, list: &str, name: &str, value: Option<Value>) -> Option<()> {
    if root.get(list).is_none() {
        root.insert(list.into(), Value::Sequence(Vec::new()));
    }
    let items = root.get_mut(list)?.as_sequence_mut()?;
    let index = items.iter().position(|item| item_name(item) == Some(name));
    match (index, value) {
        (Some(index), Some(value)) => items[index] = value,
        (None, Some(value)) => items.push(value),
        (Some(index), None) => drop(items.remove(index)),
        (None, None) => {}
    }
    Some(())
}

/// Returns the items of a list with their names, or `None` unless every item has a name.
fn named_items(value: &Value) -> Option<Vec<(&str, &Value)>> {
    let items = value.as_sequence()?;
    items
        .iter()
        .map(|item| Some((item_name(item)?, item)))
        .collect()
}

fn item_name(item: &Value) -> Option<&str> {
    item.as_mapping()?.get("name")?.as_str()
}

fn digest(value: &Value) -> u64 {
    let mut hasher = Xxh3Default::new();
    hash(value, &mut hasher);
    hasher.digest()
}

/// Hashes a value independently of the order of a mapping's keys.
fn hash(value: &Value, hasher: &mut Xxh3Default) {
    match value {
        Value::Sequence(items) => {
            hasher.write_u8(b'[');
            hasher.write_usize(items.len());
            items.iter().for_each(|item| hash(item, hasher));
        }
        Value::Mapping(entries) => {
            hasher.write_u8(b'{');
            hasher.write_usize(entries.len());
            let mut entries: Vec<_> = entries.iter().map(|(k, v)| (digest(k), v)).collect();
            entries.sort_by_key(|(key, _)| *key);
            for (key, value) in entries {
                hasher.write_u64(key);
                hash(value, hasher);
            }
        }
        Value::Tagged(tagged) => {
            hasher.write_u8(b'!');
            hash(&tagged.value, hasher);
        }
        Value::Null => hasher.write_u8(b'~'),
        Value::Bool(value) => hasher.write_u8(u8::from(*value)),
        Value::Number(number) => hash_text(b'#', &number.to_string(), hasher),
        Value::String(text) => hash_text(b'"', text, hasher),
    }
}

fn hash_text(kind: u8, text: &str, hasher: &mut Xxh3Default) {
    hasher.write_u8(kind);
    hasher.write_usize(text.len());
    hasher.write(text.as_bytes());
}
