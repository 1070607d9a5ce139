//! Identifiers and version numbers as types of their own, so that they can't be confused.
//!
//! All are serialized as the plain string or number inside.
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// Defines an identifier that is a string.
macro_rules! string_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub String);
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.to_owned())
            }
        }
    };
}

/// Defines an identifier or version that is a number.
macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

string_id!(
    /// A service: one primary database and its replicas, or the databases behind a gateway.
    ServiceName
);

string_id!(
    /// One database of a service, by the name it gives in its heartbeats.
    InstanceId
);

string_id!(
    /// A machine of the system, as its settings name it.
    NodeName
);

number_id!(
    /// The term of a database's log: rises with each promotion, and says which primary wrote.
    DbTerm
);

number_id!(
    /// The Raft term of the controllers: rises with each election.
    Term
);

number_id!(
    /// The index of an entry in the controllers' Raft log; the first entry is 1.
    LogIndex
);

number_id!(
    /// A controller with one disk; a new disk makes a new member of the Raft group.
    MemberId
);

number_id!(
    /// The revision that the operator gave a configuration; 0 is none.
    Revision
);

/// A position in a database's log, ordered by term and then by number. Written as `TERM.NUMBER`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Position {
    /// The term in which the entry was written.
    pub term: DbTerm,
    /// The entry's number in the log.
    pub number: u64,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.term, self.number)
    }
}

impl FromStr for Position {
    type Err = ();
    fn from_str(text: &str) -> Result<Self, ()> {
        let (term, number) = text.split_once('.').ok_or(())?;
        Ok(Self {
            term: DbTerm(term.parse().map_err(|_| ())?),
            number: number.parse().map_err(|_| ())?,
        })
    }
}
