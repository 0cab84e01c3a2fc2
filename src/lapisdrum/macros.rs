//! Macros for recurring sets of derives, so that a type lists only its additional ones.

/// Derives the traits of a plain value type: clone, comparison, debug output and serialisation.
macro_rules! data {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq, Eq, ::serde::Serialize, ::serde::Deserialize)]
            $item
        )*
    };
}

/// Derives the traits of a small `Copy` type, which is also ordered and hashed.
macro_rules! scalar {
    ($($item:item)*) => {
        $(
            #[derive(
                Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash,
                ::serde::Serialize, ::serde::Deserialize,
            )]
            $item
        )*
    };
}

/// Declares types of validated names: 1 to 96 characters out of `a-z`, `0-9`, `.`, `_` and `-`.
macro_rules! name_type {
    ($($(#[$doc:meta])* $name:ident)*) => {
        $(
            $(#[$doc])*
            #[derive(
                Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash,
                ::serde::Serialize, ::serde::Deserialize,
            )]
            #[serde(try_from = "String", into = "String")]
            pub struct $name(std::sync::Arc<str>);

            impl $name {
                /// The name as a string slice.
                pub fn as_str(&self) -> &str {
                    &self.0
                }
            }

            impl TryFrom<String> for $name {
                type Error = InvalidName;

                fn try_from(raw: String) -> Result<Self, InvalidName> {
                    check_name(&raw)?;
                    Ok(Self(raw.into()))
                }
            }

            impl TryFrom<&str> for $name {
                type Error = InvalidName;

                fn try_from(raw: &str) -> Result<Self, InvalidName> {
                    check_name(raw)?;
                    Ok(Self(raw.into()))
                }
            }

            impl From<$name> for String {
                fn from(name: $name) -> Self {
                    name.0.as_ref().to_owned()
                }
            }

            impl std::fmt::Display for $name {
                fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                    f.write_str(&self.0)
                }
            }
        )*
    };
}
