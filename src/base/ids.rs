//! Newtypes of identifiers and version numbers, so that they can't be confused with each other.
//!
//! All except [`Position`] are serialized as the string or number that they contain.
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// Defines an identifier type that contains a string.
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

/// Defines an identifier or version type that contains a number.
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
    /// The name of a service: a primary database and its replicas, or the databases behind a
    /// gateway.
    ServiceName
);

string_id!(
    /// The id of a database of a service, which its heartbeats contain.
    InstanceId
);

string_id!(
    /// The name of a machine in its settings.
    NodeName
);

string_id!(
    /// The name of a tenant, which databases are told.
    TenantName
);

number_id!(
    /// The term of a database's log. It increases with each promotion and identifies the primary
    /// that wrote an entry.
    DbTerm
);

number_id!(
    /// The Raft term of the controllers. It increases with each election.
    Term
);

number_id!(
    /// The index of an entry in the controllers' Raft log; the first entry is 1.
    LogIndex
);

number_id!(
    /// The id of a member of the Raft cluster: a controller with a certain disk. A controller with
    /// a new disk is a new member.
    MemberId
);

number_id!(
    /// The revision number that the operator assigned to a configuration; 0 stands for none.
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
