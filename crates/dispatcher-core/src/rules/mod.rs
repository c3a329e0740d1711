//! The rules by which a host decides, one per file.
//!
//! Each file states one rule: the rule in words, its inputs with their units, the reason and the
//! trade-off, then its constants and pure functions over small inputs. Measurements behind them are
//! in `docs/design/figures-moved-from-code.md` and `docs/MEASURES.md`. State is kept elsewhere
//! (`crate::jobs`, `crate::targets`, `crate::peers`), which call these functions.
//!
//! | question | rule |
//! |---|---|
//! | Why was this request rejected at once? | [`admission`], [`arrival`] |
//! | Which waiting task goes first? | [`priority`], [`waiting_order`] |
//! | Which queue or hall is next, and how much may long tasks hold? | [`shares`], [`long_tasks`] |
//! | How much capacity does a target have? | [`capacity`] |
//! | Why this target? | [`target_choice`] |
//! | Why this peer, and for which peer are resources reserved? | [`peer_choice`] |
//! | At which holder does a task wait, and how long? | [`holder_choice`], [`hall_load`], [`backlog`] |
//! | What follows from the end of an attempt? | [`retry`] |
//! | Why does a task run alone, or no more? | [`crashes`] |
//! | Why was this job given up, and when may its caller retry? | [`giving_up`] |
//! | Why does a target get no tasks? | [`target_health`], [`draining`] |
//! | Which host holds a target, and which one yields? | [`assignment`], [`contention`] |
//! | How much is sent over a full link? | [`congestion`] |
//! | Which hosts read the platform's store? | [`store_readers`] |
//! | Is an attempt stalled? | [`progress`] |
//! | How long will a task run? | [`running_time`] |
//! | How slow is a target? | [`target_speed`] |
//! | Does a failure count against its target? | [`failure_source`] |
//! | Is a peer alive? | [`liveness`] |
//! | Which hosts are reported to a peer? | [`membership`] |
//! | Who may start what until when? | [`leases`], [`heartbeat_intervals`] |

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
