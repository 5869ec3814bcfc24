//! Position of a stream of events: where another upstream may resume it, and which events of that upstream the caller
//! already has.
//!
//! An upstream numbers the events of a stream, and a spoilt number looks like any other. Therefore each event of a
//! single run is passed on, whatever its id says, and an id decides only what other ids confirm. Where they do not, the
//! stream is broken off: a caller sees that, but neither a missing nor a repeated event. See `docs/design.md`,
//! section 10.
//!
//! ```
//! use monsoonfield::stream_position::{Disposition, StreamPosition};
//! use monsoonfield::upstream_client::EventId;
//!
//! let mut position = StreamPosition::new(None);
//! for id in 1..=3 {
//!     assert_eq!(position.accept(EventId::Number(id)), Ok(Disposition::New));
//! }
//! assert_eq!(position.resume_after(), Some(3));
//! // The next upstream repeats an event.
//! position.begin_run();
//! assert_eq!(position.accept(EventId::Number(3)), Ok(Disposition::Repeated));
//! assert_eq!(position.accept(EventId::Number(4)), Ok(Disposition::New));
//! // An event that is not the next one shows that the run does not continue the stream.
//! position.begin_run();
//! assert!(position.accept(EventId::Number(9)).is_err());
//! ```

use crate::upstream_client::EventId;

/// Id of the first event of a stream. A first event with another id may have a spoilt one, which only the next event
/// shows.
const FIRST_ID: u64 = 1;

const NOT_CONTINUED: &str = "the resumed stream does not go on after the last event";

const NOT_REPEATED: &str = "the resumed stream repeats events that do not lead up to the last one";

/// Ids of the last events that the caller has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Tail {
    /// Id of the event before `first`, if ids were skipped between them.
    before: Option<u64>,
    /// First and last id of the events at the end whose ids follow each other.
    first: u64,
    last: u64,
    /// Id after which the stream may resume: the last one if all ids from the first event on follow each other,
    /// otherwise the one before, so that the resumed stream has to repeat the last event.
    resume_after: Option<u64>,
}

impl Tail {
    fn begin(id: u64) -> Self {
        Self {
            before: None,
            first: id,
            last: id,
            resume_after: (id == FIRST_ID).then_some(id),
        }
    }

    /// Creates the tail of a caller that states which event it received last.
    fn stated(id: u64) -> Self {
        Self {
            resume_after: Some(id),
            ..Self::begin(id)
        }
    }

    /// Returns the tail after another event, whose id is higher.
    fn followed_by(self, id: u64) -> Self {
        let follows = self.is_next(id);
        let (before, first) = if follows {
            (self.before, self.first)
        } else {
            (Some(self.last), id)
        };
        let is_confirmed = follows && self.is_confirmed();
        Self {
            before,
            first,
            last: id,
            resume_after: Some(if is_confirmed { id } else { self.last }),
        }
    }

    fn is_next(&self, id: u64) -> bool {
        self.last.checked_add(1) == Some(id)
    }

    fn contains(&self, id: u64) -> bool {
        self.before == Some(id) || (self.first..=self.last).contains(&id)
    }

    /// Returns whether the event `next` came right after the event `id`, which the tail contains.
    fn has_successor(&self, id: u64, next: u64) -> bool {
        let expected = if self.before == Some(id) {
            self.first
        } else {
            id.saturating_add(1)
        };
        next == expected && next <= self.last
    }

    /// Returns whether a resumed stream goes on after the last event, and need not repeat it.
    fn is_confirmed(&self) -> bool {
        self.resume_after == Some(self.last)
    }
}

/// Events that the caller has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Delivered {
    /// None of this response. The caller may have stated the id of the last event of an earlier one.
    Nothing { stated: Option<u64> },
    /// Events whose ids increased.
    Tail(Tail),
    /// Events whose ids do not tell which ones they are.
    Unknown,
}

/// How far the run of the present upstream has joined the events that the caller has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Run {
    /// Its events are new ones.
    Joined,
    /// It resumes the stream and has sent no event yet.
    Begun,
    /// It has repeated the events from the first of these ids to the second one.
    Repeating { from: u64, to: u64 },
}

/// What to do with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// Pass it on.
    New,
    /// Drop it, because the caller has it.
    Repeated,
}

/// Position of the stream of one response: a few ids, whatever the length of the stream.
#[derive(Clone, Copy, Debug)]
pub struct StreamPosition {
    delivered: Delivered,
    run: Run,
}

impl StreamPosition {
    /// Creates the position of a response that has no event yet. A caller that resumes a stream by itself has stated
    /// the id of its last event.
    pub fn new(stated: Option<u64>) -> Self {
        Self {
            delivered: Delivered::Nothing { stated },
            run: Run::Joined,
        }
    }

    /// Returns whether the caller has a part of the stream, from this response or from an earlier one.
    pub fn has_begun(&self) -> bool {
        self.delivered != Delivered::Nothing { stated: None }
    }

    /// Returns whether the ids of a run have shown that they do not tell one event from another.
    pub fn is_unknown(&self) -> bool {
        self.delivered == Delivered::Unknown
    }

    /// Returns whether another upstream may go on with the stream.
    pub fn is_resumable(&self) -> bool {
        match self.delivered {
            Delivered::Nothing { .. } => true,
            Delivered::Tail(tail) => tail.resume_after.is_some(),
            Delivered::Unknown => false,
        }
    }

    /// Returns the id of the event after which another upstream goes on; `None` if it begins the stream, or if the
    /// stream is not resumable.
    pub fn resume_after(&self) -> Option<u64> {
        match self.delivered {
            Delivered::Nothing { stated } => stated,
            Delivered::Tail(tail) => tail.resume_after,
            Delivered::Unknown => None,
        }
    }

    /// Returns the id of the last event that the caller has, if it is known.
    pub fn last_id(&self) -> Option<u64> {
        match self.delivered {
            Delivered::Nothing { stated } => stated,
            Delivered::Tail(tail) => Some(tail.last),
            Delivered::Unknown => None,
        }
    }

    /// Prepares for the events of another upstream, which was asked to go on after [`Self::resume_after`].
    pub fn begin_run(&mut self) {
        self.run = match self.delivered {
            Delivered::Nothing { .. } => Run::Joined,
            Delivered::Tail(_) | Delivered::Unknown => Run::Begun,
        };
    }

    /// Decides on the next event of the present run.
    ///
    /// Only a run that resumes the stream may repeat events, at its beginning, and up to the last one that the caller
    /// has. Its first new event has to follow that one.
    ///
    /// # Errors
    ///
    /// Returns why the event cannot be joined to those that the caller has.
    pub fn accept(&mut self, id: EventId) -> Result<Disposition, &'static str> {
        if self.run == Run::Joined {
            self.record(id);
            return Ok(Disposition::New);
        }
        let (Delivered::Tail(tail), EventId::Number(number)) = (self.delivered, id) else {
            return Err(NOT_CONTINUED);
        };
        let is_new = if tail.is_confirmed() {
            tail.is_next(number)
        } else {
            number > tail.last
        };
        self.run = match self.run {
            Run::Begun if tail.contains(number) => Run::Repeating {
                from: number,
                to: number,
            },
            Run::Begun if is_new && tail.is_confirmed() => Run::Joined,
            Run::Begun | Run::Joined => return Err(NOT_CONTINUED),
            Run::Repeating { from, to } if tail.has_successor(to, number) => {
                Run::Repeating { from, to: number }
            }
            Run::Repeating { to, .. } if is_new && to == tail.last => Run::Joined,
            Run::Repeating { .. } => return Err(NOT_REPEATED),
        };
        if self.run == Run::Joined {
            self.record(id);
            return Ok(Disposition::New);
        }
        Ok(Disposition::Repeated)
    }

    /// Checks that the present run has reached the last event that the caller has, so that its end may be that of the
    /// stream.
    ///
    /// # Errors
    ///
    /// Returns why the run does not reach the last event that the caller has.
    pub fn check_end(&self) -> Result<(), &'static str> {
        let is_reached = match (self.run, self.delivered) {
            (Run::Joined, _) => true,
            (Run::Begun, Delivered::Tail(tail)) => tail.is_confirmed(),
            // A single event that was not to be repeated may be a new one with a spoilt id.
            (Run::Repeating { from, to }, Delivered::Tail(tail)) => {
                to == tail.last && (from != to || !tail.is_confirmed())
            }
            (Run::Begun | Run::Repeating { .. }, _) => false,
        };
        match self.run {
            _ if is_reached => Ok(()),
            Run::Repeating { .. } => Err(NOT_REPEATED),
            Run::Begun | Run::Joined => Err(NOT_CONTINUED),
        }
    }

    /// Records an event that is passed on.
    fn record(&mut self, id: EventId) {
        self.delivered = match (self.delivered, id) {
            (Delivered::Nothing { stated: None }, EventId::Number(id)) => {
                Delivered::Tail(Tail::begin(id))
            }
            (Delivered::Nothing { stated: Some(last) }, EventId::Number(id)) if id > last => {
                Delivered::Tail(Tail::stated(last).followed_by(id))
            }
            (Delivered::Tail(tail), EventId::Number(id)) if id > tail.last => {
                Delivered::Tail(tail.followed_by(id))
            }
            _ => Delivered::Unknown,
        };
    }
}
