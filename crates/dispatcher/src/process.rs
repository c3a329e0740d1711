//! Assembles and runs a host's process: its log, its servers, the tasks that read the store
//! and the task that owns the dispatcher.

use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use gannetridge_clock::Clock;
use gannetridge_dispatcher_core::rules::store_readers::Freshness;
use gannetridge_dispatcher_core::{Dispatcher, Safeguards};
use gannetridge_net::{BodyRate, Client, ClientLimits, RefusalCounts, SharedLimits};
use gannetridge_process::budget::Budget;
use local_sync::mpsc::unbounded;
use tracing::{info, warn};

use crate::core_task::{CoreTask, Parts};
use crate::logging;
use crate::mailbox::{Sender, StopFlag};
use crate::metrics::Metrics;
use crate::platform_client::{PlatformClient, Table};
use crate::reload::Reloader;
use crate::servers::{self, request_limits, Shared};
use crate::settings::{LinkSettings, Settings};
use crate::signals::Signals;
use crate::store_pace::pause_between_reads;
use crate::store_task::{follow_table, publish_host_row, ReadTimes};

/// How long the process goes on after the dispatcher has stopped, to send the last answers.
const FINAL_SEND_TIME: Duration = Duration::from_millis(100);
/// The longest time to set up a connection to a target, a peer or the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// The share of the link that one long body may use, such as a whole configuration; the rest
/// is left to heartbeats, renewals and callers. A configuration of 1,500 routes, some 350 KB, takes
/// 2.3 s at 2 Mbit/s, of the 4 s in which hosts have to apply it.
const LONG_BODY_SHARE: f64 = 0.6;
/// Once a peer's reply is outstanding for this long, other calls to it open new connections:
/// peers reply at once. Short enough for another heartbeat to arrive within an owner lease
/// (`rules/leases.rs`) after one was lost with its connection: of 553 ms with the users' bounds, a
/// lost heartbeat and the next one on another dead connection take 276 ms.
const PEER_SUSPECT_AFTER: Duration = Duration::from_millis(100);

/// Runs a host's process until it has shut down gracefully.
///
/// # Errors
///
/// Fails if the settings are invalid, an address can't be bound, or the log, the clock, the
/// signal handlers or the metrics can't be set up.
pub async fn run(
    path: &Path,
    settings: Settings,
    platform_client: PlatformClient,
) -> anyhow::Result<()> {
    let log = logging::init(&settings.log)?;
    let clock = Clock::start()?;
    let epoch_ms = wall_clock_ms();
    let budget = Budget::new(&settings.limits);
    let mut dispatcher = Dispatcher::new(core_settings(&settings, epoch_ms))?;
    dispatcher.limit_job_memory(budget.job_bytes);
    let (tx, rx) = unbounded::channel();
    let signals = Signals::listen()?;
    let caller_limits = SharedLimits::from(budget.callers);
    caller_limits.set_request_limits(request_limits(&dispatcher.request_limits()));
    let shared = Shared {
        tx: tx.clone(),
        platform_client: platform_client.clone(),
        stopping: StopFlag::default(),
        caller_limits,
        refusals: RefusalCounts::default(),
    };
    servers::start(&settings, &budget, &shared)?;
    spawn_store_tasks(&settings, &platform_client, &tx, &dispatcher, &clock);
    info!(
        event = "started",
        name = %settings.name,
        hall = %settings.hall,
        version = env!("CARGO_PKG_VERSION"),
        incarnation = epoch_ms,
        bounds = ?settings.bounds,
    );
    let core = CoreTask::new(Parts {
        dispatcher,
        clock,
        rx,
        tx,
        grace_period: Duration::from_millis(settings.bounds.bounds().grace_period_ms),
        peer_client: Client::new(ClientLimits {
            suspect_after: Some(PEER_SUSPECT_AFTER),
            ..client_limits(&settings.link)
        }),
        platform_client,
        metrics: Metrics::new()?,
        stopping: shared.stopping,
        caller_limits: shared.caller_limits,
        refusals: shared.refusals,
        signals,
        reloader: Reloader::new(path, settings),
        log_dropped: log.dropped.clone(),
    });
    core.run().await;
    info!(event = "stopped");
    monoio::time::sleep(FINAL_SEND_TIME).await;
    Ok(())
}

/// Returns the wall clock's time in ms since 1970. It also serves as this process's
/// incarnation, by which peers tell a restarted host from its earlier process, and the base of
/// its fencing tokens.
fn wall_clock_ms() -> u64 {
    match SystemTime::now().duration_since(UNIX_EPOCH) {
        Ok(since) => since.as_millis() as u64,
        Err(error) => {
            // The host still serves on its own; peers that know a higher incarnation ignore it.
            warn!(event = "clock-before-1970", %error);
            0
        }
    }
}

fn core_settings(settings: &Settings, epoch_ms: u64) -> gannetridge_dispatcher_core::Settings {
    gannetridge_dispatcher_core::Settings {
        name: settings.name.clone(),
        address: settings.peers,
        hall: settings.hall.clone(),
        incarnation: epoch_ms,
        processor_weight: settings.processor.weight(),
        seeds: settings.seeds.clone(),
        bounds: settings.bounds.bounds(),
        epoch_ms,
        far_slowdown: settings.bounds.remote_factor,
        scheduling: settings.scheduling,
        safeguards: Safeguards::default(),
    }
}

/// Returns the limits of the process's outgoing calls.
#[must_use]
pub fn client_limits(link: &LinkSettings) -> ClientLimits {
    let bytes_per_s = link.bytes_per_s() as f64 * LONG_BODY_SHARE;
    ClientLimits {
        connect_timeout: CONNECT_TIMEOUT,
        body_rate: Some(BodyRate {
            bytes_per_s: bytes_per_s as u64,
        }),
        ..ClientLimits::default()
    }
}

/// Spawns the tasks that follow the platform's tables and write this host's row.
fn spawn_store_tasks(
    settings: &Settings,
    platform_client: &PlatformClient,
    tx: &Sender,
    dispatcher: &Dispatcher,
    clock: &Clock,
) {
    for table in [Table::Configuration, Table::Targets, Table::Hosts] {
        let pause = pause_between_reads(table, settings.bounds.drain_ms);
        let times = ReadTimes {
            max_pause: pause,
            reader_max_wait_ms: Freshness::new(settings.bounds.drain_ms).request_interval_ms,
            link_bytes_per_s: settings.link.bytes_per_s(),
        };
        let task = follow_table(
            platform_client.clone(),
            table,
            times,
            tx.clone(),
            clock.clone(),
        );
        monoio::spawn(task);
    }
    let info = dispatcher.info().clone();
    monoio::spawn(publish_host_row(platform_client.clone(), info));
}
