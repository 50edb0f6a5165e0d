//! Macros for common sets of derived traits and for newtypes.

/// Derives the traits of plain data for each item: `Clone`, `Debug`, `PartialEq` and `Eq`.
///
/// ```
/// ibiscroft_core::data! {
///     /// A point.
///     pub struct Point {
///         /// Column.
///         pub x: u32,
///     }
/// }
/// assert_eq!(Point { x: 1 }, Point { x: 1 }.clone());
/// ```
#[macro_export]
macro_rules! data {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq, Eq)]
            $item
        )*
    };
}

/// Derives the traits of small copyable data for each item: those of [`data!`](crate::data),
/// `Copy` and `Hash`.
#[macro_export]
macro_rules! copy_data {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
            $item
        )*
    };
}

/// Defines a newtype over `String` with `Display`, `FromStr` and the serde traits.
///
/// `FromStr` fails on an empty text with [`EmptyText`](crate::ids::EmptyText).
#[macro_export]
macro_rules! text_newtype {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// Wraps `text`, which may also be empty.
            #[must_use]
            pub fn new(text: impl Into<String>) -> Self {
                Self(text.into())
            }

            /// Returns the text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::ids::EmptyText;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                if text.is_empty() {
                    return Err($crate::ids::EmptyText(stringify!($name)));
                }
                Ok(Self(text.to_string()))
            }
        }
    };
}

/// Defines a newtype over an unsigned integer with `Display`, `FromStr` and the serde traits.
#[macro_export]
macro_rules! number_newtype {
    ($(#[$meta:meta])* $name:ident($inner:ty)) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl $name {
            /// Returns the number.
            #[must_use]
            pub const fn get(self) -> $inner {
                self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                self.0.fmt(f)
            }
        }

        impl std::str::FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    };
}
