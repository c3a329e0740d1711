//! State charts that are read from files and interpreted.
//!
//! A chart names its states and events in TOML. The code names them in enums;
//! [`Chart::parse`] checks that the two agree, so a chart can't refer to a
//! state that the code doesn't know.

use std::collections::BTreeMap;
use std::marker::PhantomData;

use serde::Deserialize;
use thiserror::Error;

/// A set of names that a chart may use for its states or events.
pub trait ChartNames: Copy + 'static {
    /// All members with their names in the chart.
    const NAMES: &'static [(&'static str, Self)];

    /// Returns the member's position in [`ChartNames::NAMES`].
    fn index(self) -> usize;
}

/// Declares an enum whose members carry the names that a chart uses.
#[macro_export]
macro_rules! chart_names {
    ($(#[$meta:meta])* $name:ident { $($(#[$doc:meta])* $member:ident = $text:literal,)+ }) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $name {
            $($(#[$doc])* $member,)+
        }

        impl $crate::ChartNames for $name {
            const NAMES: &'static [(&'static str, Self)] = &[$(($text, Self::$member),)+];

            fn index(self) -> usize {
                self as usize
            }
        }
    };
}

/// Why a chart can't be used.
#[derive(Debug, Error)]
pub enum ChartError {
    /// The file is no chart.
    #[error("chart doesn't parse")]
    Parse(#[from] toml::de::Error),
    /// The chart names a state that the code doesn't know.
    #[error("unknown state `{0}`")]
    UnknownState(String),
    /// The chart names an event that the code doesn't know.
    #[error("unknown event `{0}`")]
    UnknownEvent(String),
    /// The chart doesn't say what may happen in a state.
    #[error("state `{0}` is missing")]
    MissingState(&'static str),
}

/// An event that the chart doesn't allow in a state.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("chart `{chart}`: `{event}` isn't allowed in `{state}`")]
pub struct NotAllowed {
    /// The chart.
    pub chart: String,
    /// The state.
    pub state: &'static str,
    /// The event.
    pub event: &'static str,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ChartFile {
    name: String,
    initial: String,
    transitions: BTreeMap<String, BTreeMap<String, String>>,
}

/// A chart over states `S` and events `E`.
pub struct Chart<S, E> {
    name: String,
    initial: S,
    next: Vec<Option<S>>,
    events: PhantomData<E>,
}

fn member<N: ChartNames>(text: &str) -> Option<N> {
    let found = N::NAMES.iter().find(|(name, _)| *name == text);
    found.map(|(_, member)| *member)
}

fn name_of<N: ChartNames>(member: N) -> &'static str {
    N::NAMES[member.index()].0
}

impl<S: ChartNames, E: ChartNames> Chart<S, E> {
    /// Reads a chart.
    ///
    /// # Errors
    ///
    /// Fails if the text is no chart, or names states or events that `S` and
    /// `E` don't have, or leaves a state out.
    pub fn parse(text: &str) -> Result<Self, ChartError> {
        let file: ChartFile = toml::from_str(text)?;
        let state =
            |name: &str| member(name).ok_or_else(|| ChartError::UnknownState(name.to_owned()));
        let mut next = vec![None; S::NAMES.len() * E::NAMES.len()];
        for (from, events) in &file.transitions {
            let from: S = state(from)?;
            for (event, to) in events {
                let known = member(event);
                let event: E = known.ok_or_else(|| ChartError::UnknownEvent(event.clone()))?;
                next[from.index() * E::NAMES.len() + event.index()] = Some(state(to)?);
            }
        }
        for (name, _) in S::NAMES {
            if !file.transitions.contains_key(*name) {
                return Err(ChartError::MissingState(name));
            }
        }
        Ok(Self {
            initial: state(&file.initial)?,
            name: file.name,
            next,
            events: PhantomData,
        })
    }

    /// Returns the state in which everything begins.
    #[must_use]
    pub fn initial(&self) -> S {
        self.initial
    }

    /// Returns the state that follows.
    ///
    /// # Errors
    ///
    /// Fails if the chart doesn't allow the event in the state.
    pub fn next(&self, state: S, event: E) -> Result<S, NotAllowed> {
        let next = self.next[state.index() * E::NAMES.len() + event.index()];
        next.ok_or_else(|| NotAllowed {
            chart: self.name.clone(),
            state: name_of(state),
            event: name_of(event),
        })
    }

    /// Moves a state on.
    ///
    /// # Panics
    ///
    /// Panics if the chart doesn't allow the event: the code and the chart
    /// disagree, and going on could break a promise.
    pub fn advance(&self, state: &mut S, event: E) {
        match self.next(*state, event) {
            Ok(next) => *state = next,
            Err(error) => panic!("{error}"),
        }
    }
}
