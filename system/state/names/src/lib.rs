//! One definition of what a type for a name offers, so that names of different things cannot be mixed up and yet all
//! behave alike.

#![forbid(unsafe_code)]

/// Defines types that hold an immutable text each: compared and ordered as text, read from JSON or YAML and from the
/// internal encoding, made from `&str` and `String`, and borrowed as `&str`.
///
/// The calling package depends on `derive_more`, `serde` and `speedy`.
///
/// ```
/// millrudder_names::text_types! {
///     /// Name of a rack.
///     pub struct RackName;
/// }
///
/// let rack = RackName::from("r-7");
/// assert_eq!(rack.len(), 3);
/// assert_eq!(rack.to_string(), "r-7");
/// ```
#[macro_export]
macro_rules! text_types {
    ($($(#[$attribute:meta])* pub struct $name:ident;)+) => {$(
        $(#[$attribute])*
        #[derive(
            Clone,
            Debug,
            Default,
            PartialEq,
            Eq,
            PartialOrd,
            Ord,
            Hash,
            ::derive_more::AsRef,
            ::derive_more::Deref,
            ::derive_more::Display,
            ::derive_more::From,
            ::serde::Deserialize,
            ::speedy::Readable,
            ::speedy::Writable,
        )]
        #[as_ref(str)]
        #[deref(forward)]
        #[from(&str, String)]
        pub struct $name(Box<str>);
    )+};
}
