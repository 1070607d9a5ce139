//! Identifiers and versions as small types of their own.
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

macro_rules! word {
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

macro_rules! number {
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

word!(
    /// A service: one primary database and its replicas.
    ServiceName
);

word!(
    /// One running database.
    InstanceId
);

word!(
    /// A machine of the system, as its settings name it.
    NodeName
);

number!(
    /// The term of a database's log: which primary wrote.
    DbTerm
);

number!(
    /// The term of the controllers' own log: which controller leads.
    Term
);

number!(
    /// The place of an entry in the controllers' log.
    LogIndex
);

number!(
    /// One controller with one disk; a new disk makes a new member.
    MemberId
);

number!(
    /// The revision the operator gave a configuration.
    Revision
);

/// A position in a database's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Position {
    pub term: DbTerm,
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
