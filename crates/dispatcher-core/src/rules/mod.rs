//! The rules by which a host decides, a file each.
//!
//! Each file states one rule: in words first, then its inputs with their units,
//! why it is so and what it gives up, then its constants
//! and pure functions over small inputs. State lives elsewhere (`crate::jobs`,
//! `crate::targets`, `crate::peers`) and asks here.
//!
//! | question | rule |
//! |---|---|
//! | Why was this request rejected at once? | [`admission`], [`arrival`] |
//! | Which waiting task goes first? | [`priority`], [`waiting_order`] |
//! | Which queue or hall is due, and what may long tasks hold? | [`shares`], [`long_tasks`] |
//! | How much does a target have? | [`capacity`] |
//! | Why this target? | [`target_choice`] |
//! | Why this peer, and for which peer are resources reserved? | [`peer_choice`] |
//! | At which holder does a task wait, and how long? | [`holder_choice`], [`hall_load`], [`backlog`] |
//! | What follows from the end of an attempt? | [`retry`] |
//! | Why does a task run alone, or no more? | [`crashes`] |
//! | Why was this job given up, and when may its caller come back? | [`giving_up`] |
//! | Why does a target get no tasks? | [`target_health`], [`draining`] |
//! | Which host holds a target, and who yields? | [`assignment`], [`contention`] |
//! | How much is said on a full link? | [`congestion`] |
//! | Who reads the platform's store? | [`store_readers`] |
//! | Does an attempt stand still? | [`progress`] |
//! | How long will a task run? | [`running_time`] |
//! | How slow is a target? | [`target_speed`] |
//! | Does a failure speak against its target? | [`failure_source`] |
//! | Is a peer alive? | [`liveness`] |
//! | Which hosts is a peer told? | [`membership`] |
//! | Who may start what until when? | [`leases`], [`heartbeat_intervals`] |
//!
//! Figures of tuning stand in `docs/design/figures-moved-from-code.md` and `docs/MEASURES.md`.
//! Where a rule gives some, *worth* is what the users' measures give a day, 1 at most.

pub mod admission;
pub mod arrival;
pub mod assignment;
pub mod backlog;
pub mod capacity;
pub mod congestion;
pub mod contention;
pub mod crashes;
pub mod draining;
pub mod failure_source;
pub mod giving_up;
pub mod hall_load;
pub mod heartbeat_intervals;
pub mod holder_choice;
pub mod leases;
pub mod liveness;
pub mod long_tasks;
pub mod membership;
pub mod peer_choice;
pub mod priority;
pub mod progress;
pub mod retry;
pub mod running_time;
pub mod shares;
pub mod store_readers;
pub mod target_choice;
pub mod target_health;
pub mod target_speed;
pub mod waiting_order;
