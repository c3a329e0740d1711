//! State machines whose transitions are defined in TOML files.
//!
//! A chart names its states and events as strings, the code as enums. [`Chart::parse`] checks
//! that the chart uses only names of the enums and covers every state.

use std::collections::BTreeMap;
use std::marker::PhantomData;

use serde::Deserialize;
use thiserror::Error;

/// An enum of the states or the events of a chart.
pub trait ChartNames: Copy + 'static {
    /// All variants with their names in the chart, in the order of [`ChartNames::index`].
    const NAMES: &'static [(&'static str, Self)];

    /// Returns the variant's position in [`ChartNames::NAMES`].
    fn index(self) -> usize;
}

/// Declares an enum of states or events, with the name of each variant in the chart.
#[macro_export]
macro_rules! chart_names {
    ($(#[$meta:meta])* $name:ident { $($(#[$doc:meta])* $variant:ident = $text:literal,)+ }) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $name {
            $($(#[$doc])* $variant,)+
        }

        impl $crate::ChartNames for $name {
            const NAMES: &'static [(&'static str, Self)] = &[$(($text, Self::$variant),)+];

            fn index(self) -> usize {
                self as usize
            }
        }
    };
}

/// The reason why a chart can't be used.
#[derive(Debug, Error)]
pub enum ChartError {
    /// The text isn't TOML, or doesn't have the form of a chart.
    #[error("malformed chart")]
    Parse(#[from] toml::de::Error),
    /// The chart names a state that the enum of states lacks.
    #[error("unknown state `{0}`")]
    UnknownState(String),
    /// The chart names an event that the enum of events lacks.
    #[error("unknown event `{0}`")]
    UnknownEvent(String),
    /// The chart has no table of transitions for a state.
    #[error("state `{0}` is missing")]
    MissingState(&'static str),
}

/// The error that a chart has no transition for an event in a state.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("chart `{chart}`: `{event}` isn't allowed in `{state}`")]
pub struct NotAllowed {
    /// The chart's name.
    pub chart: String,
    /// The state's name in the chart.
    pub state: &'static str,
    /// The event's name in the chart.
    pub event: &'static str,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ChartFile {
    name: String,
    initial: String,
    transitions: BTreeMap<String, BTreeMap<String, String>>,
}

/// A state machine with states `S` and events `E`.
pub struct Chart<S, E> {
    name: String,
    initial: S,
    /// The next state for each state and event, by state, then event.
    next: Vec<Option<S>>,
    events: PhantomData<E>,
}

fn variant_of<N: ChartNames>(text: &str) -> Option<N> {
    let found = N::NAMES.iter().find(|(name, _)| *name == text);
    found.map(|(_, variant)| *variant)
}

fn name_of<N: ChartNames>(variant: N) -> &'static str {
    N::NAMES[variant.index()].0
}

impl<S: ChartNames, E: ChartNames> Chart<S, E> {
    /// Parses a chart from TOML.
    ///
    /// # Errors
    ///
    /// Fails if the text is malformed, names states or events that `S` and `E` lack, or has
    /// no transitions for a state.
    pub fn parse(text: &str) -> Result<Self, ChartError> {
        let file: ChartFile = toml::from_str(text)?;
        let state =
            |name: &str| variant_of(name).ok_or_else(|| ChartError::UnknownState(name.to_owned()));
        let mut next = vec![None; S::NAMES.len() * E::NAMES.len()];
        for (from, events) in &file.transitions {
            let from: S = state(from)?;
            for (event, to) in events {
                let known = variant_of(event);
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

    /// Returns the initial state.
    #[must_use]
    pub fn initial(&self) -> S {
        self.initial
    }

    /// Returns the next state after an event.
    ///
    /// # Errors
    ///
    /// Fails if the chart has no transition for the event in the state.
    pub fn next(&self, state: S, event: E) -> Result<S, NotAllowed> {
        let next = self.next[state.index() * E::NAMES.len() + event.index()];
        next.ok_or_else(|| NotAllowed {
            chart: self.name.clone(),
            state: name_of(state),
            event: name_of(event),
        })
    }

    /// Replaces `state` by the next state after an event.
    ///
    /// # Panics
    ///
    /// Panics if the chart has no transition for the event in the state: the code contradicts
    /// the chart, and continuing could violate a guarantee.
    pub fn advance(&self, state: &mut S, event: E) {
        match self.next(*state, event) {
            Ok(next) => *state = next,
            Err(error) => panic!("{error}"),
        }
    }
}
