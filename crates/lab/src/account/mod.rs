//! The outcomes of jobs, from the logs of their hosts alone.
//!
//! [`jobs`] collects what the lines say of each job, [`outcome`] classifies each job and finds the
//! one reason why it wasn't on time, [`capacity`] computes which share of jobs could have been
//! served at most, [`tally`] adds up and prints, and [`plot`] draws. Requests that reached no host,
//! or whose host wrote nothing, aren't in the logs and so aren't counted.

pub mod capacity;
pub mod jobs;
pub mod outcome;
pub mod plot;
pub mod tally;
