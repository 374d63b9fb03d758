//! The derive sets that the crate's plain data types share.

/// Gives each item the common derives of a value that is compared, logged and sent.
macro_rules! data {
    ($($item:item)*) => {
        $(
            #[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
            $item
        )*
    };
}

/// Gives each enum the derives of [`data`] and those of a small key.
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
