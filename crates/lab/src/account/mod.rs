//! An account of what became of jobs, from the logs of their hosts alone.
//!
//! [`jobs`] gathers what the lines say of each job, [`outcome`] judges it and finds the
//! one reason why it wasn't on time, [`capacity`] reckons what no host could have served,
//! and [`tally`] adds up and prints, [`plot`] draws. Requests that reached no host, or
//! whose host wrote nothing, aren't in logs and so not in the account.

pub mod capacity;
pub mod jobs;
pub mod outcome;
pub mod plot;
pub mod tally;
