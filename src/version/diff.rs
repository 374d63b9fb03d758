//! Compares two configurations for a person.

use std::collections::BTreeMap;

use serde_json::Value;
use smol_str::SmolStr;

use super::config::Config;
use crate::derive::data;

data! {
    /// One difference between two configurations.
    pub struct Change {
        /// The path of the field that differs.
        pub path: SmolStr,
        /// The old value, absent where the field is new.
        pub old: Option<String>,
        /// The new value, absent where the field is gone.
        pub new: Option<String>,
    }
}

/// Lists every field that differs, ordered by path.
pub fn diff(old: &Config, new: &Config) -> Vec<Change> {
    let old = flatten(old);
    let new = flatten(new);
    let paths = old.keys().chain(new.keys().filter(|path| !old.contains_key(*path)));
    let mut changes: Vec<Change> = paths
        .filter(|path| old.get(*path) != new.get(*path))
        .map(|path| Change {
            path: path.into(),
            old: old.get(path).cloned(),
            new: new.get(path).cloned(),
        })
        .collect();
    changes.sort_by(|a, b| a.path.cmp(&b.path));
    changes
}

fn flatten(config: &Config) -> BTreeMap<String, String> {
    let value = serde_json::to_value(config).expect("plain data always serializes");
    let mut fields = BTreeMap::new();
    walk(String::new(), &value, &mut fields);
    fields
}

fn walk(path: String, value: &Value, fields: &mut BTreeMap<String, String>) {
    let join = |name: &str| {
        if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") }
    };
    match value {
        Value::Object(map) => map.iter().for_each(|(name, v)| walk(join(name), v, fields)),
        Value::Array(items) => {
            for (n, item) in items.iter().enumerate() {
                let name = item.get("id").map_or_else(|| n.to_string(), plain);
                walk(join(&name), item, fields);
            }
        }
        leaf => {
            fields.insert(path, plain(leaf));
        }
    }
}

fn plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
