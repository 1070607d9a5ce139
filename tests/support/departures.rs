//! How clients of a gateway leave, and what endpoints saw of their requests afterwards.
#![allow(dead_code, reason = "each user uses a part of it")]
use crate::stand_in_endpoints::StandInEndpoints;
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// How long after the close a request may still reach an endpoint, or an endpoint be at work on it.
pub(crate) const ALLOWED_DELAY: Duration = Duration::from_millis(500);

/// How many requests may reach an endpoint later than that.
pub(crate) const ALLOWED_LATE_SENDS: usize = 3;

/// How a client leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Departure {
    Close,
    Reset,
    /// The client shuts down its sending side and keeps the connection.
    HalfClose,
}

impl Departure {
    /// All ways to leave.
    pub(crate) const ALL: [Self; 3] = [Self::Close, Self::Reset, Self::HalfClose];
}

/// A client that has left.
pub(crate) struct Departed {
    pub(crate) ids: Vec<String>,
    pub(crate) left_at: Instant,
    _half_open: Option<TcpStream>,
}

impl Departed {
    /// Lets a client with these requests leave.
    pub(crate) fn leave(stream: TcpStream, ids: Vec<String>, departure: Departure) -> Self {
        let left_at = Instant::now();
        let half_open = match departure {
            Departure::Close => None,
            Departure::Reset => {
                let linger = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                linger.expect("option");
                None
            }
            Departure::HalfClose => {
                // Fails if the gateway has closed the connection.
                let _ = stream.shutdown(Shutdown::Write);
                Some(stream)
            }
        };
        Self { ids, left_at, _half_open: half_open }
    }

    /// Whether an endpoint was at work on one of the requests later than allowed.
    pub(crate) fn was_worked_on(&self, endpoints: &StandInEndpoints) -> bool {
        let late = self.left_at + ALLOWED_DELAY;
        let mut work = self.ids.iter().flat_map(|id| endpoints.work(id));
        work.any(|work| work.began_at < late && work.ended_at.is_none_or(|ended| ended > late))
    }

    /// Whether an endpoint that was at work would have been so later than allowed.
    pub(crate) fn would_have_lasted(&self, endpoints: &StandInEndpoints) -> bool {
        let late = self.left_at + ALLOWED_DELAY;
        let mut work = self.ids.iter().flat_map(|id| endpoints.work(id));
        work.any(|work| work.began_at < late && work.began_at + work.planned > late)
    }

    /// How often the requests reached an endpoint after `delay` had passed since the close.
    pub(crate) fn arrivals_after(&self, endpoints: &StandInEndpoints, delay: Duration) -> usize {
        let received = self.ids.iter().flat_map(|id| endpoints.received(id));
        received.filter(|request| request.received_at > self.left_at + delay).count()
    }

    pub(crate) fn arrivals(&self, endpoints: &StandInEndpoints) -> usize {
        self.ids.iter().map(|id| endpoints.received(id).len()).sum()
    }
}
