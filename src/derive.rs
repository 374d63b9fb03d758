//! Macros that add a common set of derives to the crate's data types.

/// Adds the derives of a value that is compared, logged and serialized to each item.
macro_rules! data {
    ($($item:item)*) => {
        $(
            #[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
            $item
        )*
    };
}

/// Adds the derives of [`data`] to each enum, and those that a copyable map key needs. Serialized
/// variant names are in snake case.
macro_rules! key {
    ($($item:item)*) => {
        $(
            #[derive(
                Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash,
                serde::Serialize, serde::Deserialize,
            )]
            #[serde(rename_all = "snake_case")]
            $item
        )*
    };
}

pub(crate) use {data, key};
