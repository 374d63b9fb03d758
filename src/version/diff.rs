//! Lists the differences between two configurations in readable form.

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
        /// The old value, or `None` if the field was added.
        pub old: Option<String>,
        /// The new value, or `None` if the field was removed.
        pub new: Option<String>,
    }
}

/// Returns every field that differs, ordered by path.
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
    flatten_value(String::new(), &value, &mut fields);
    fields
}

fn flatten_value(path: String, value: &Value, fields: &mut BTreeMap<String, String>) {
    let join = |name: &str| {
        if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") }
    };
    match value {
        Value::Object(map) => map.iter().for_each(|(name, v)| flatten_value(join(name), v, fields)),
        Value::Array(items) => {
            for (n, item) in items.iter().enumerate() {
                let name = item.get("id").map_or_else(|| n.to_string(), display_value);
                flatten_value(join(&name), item, fields);
            }
        }
        leaf => {
            fields.insert(path, display_value(leaf));
        }
    }
}

fn display_value(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
