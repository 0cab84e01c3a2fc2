//! Derive sets that recur, as macros, so that a type's head shows only what is particular to it.

/// Derives the common set of a plain value: cloned, compared, printed and serialised.
macro_rules! data {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq, Eq, ::serde::Serialize, ::serde::Deserialize)]
            $item
        )*
    };
}

/// Derives the common set of a small `Copy` value that is also ordered and hashed.
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

/// Declares checked names: a string of 1 to 96 characters out of `a-z`, `0-9`, `.`, `_` and `-`.
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
                /// The name as text.
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
