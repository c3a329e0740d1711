//! Maps a function over items on all processor cores.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// Calls `work` for each item, on as many threads as there are cores, and
/// returns the results in the order of the items.
///
/// # Panics
///
/// Panics if `work` panics.
pub fn map<T: Sync, R: Send>(items: &[T], work: impl Fn(&T) -> R + Sync) -> Vec<R> {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let next = AtomicUsize::new(0);
    let results: Mutex<Vec<(usize, R)>> = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads.min(items.len()) {
            scope.spawn(|| loop {
                let index = next.fetch_add(1, Ordering::Relaxed);
                let Some(item) = items.get(index) else { break };
                let result = work(item);
                results
                    .lock()
                    .expect("no holder panics")
                    .push((index, result));
            });
        }
    });
    let mut results = results.into_inner().expect("no holder panics");
    results.sort_by_key(|(index, _)| *index);
    results.into_iter().map(|(_, result)| result).collect()
}
