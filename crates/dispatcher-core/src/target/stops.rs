//! Starts in doubt, and runs that are to be ended.

use super::*;

impl Target {
    /// Takes note that the target took a start.
    pub fn start_taken(&mut self, now: Millis, key: &RunKey) {
        if let Some(run) = self.runs.get_mut(key) {
            run.taken.get_or_insert(now);
        }
    }

    /// Has a run ended whose start has no reply.
    pub fn doubt(&mut self, key: &RunKey) {
        if let Some(run) = self.runs.get_mut(key) {
            if run.taken.is_none() && run.stop == StopStage::Wanted {
                run.stop = StopStage::ToSend;
            }
        }
    }

    /// Has a run ended. With `report` its owner is told of the end.
    pub fn stop(&mut self, key: &RunKey, report: bool) -> bool {
        let Some(run) = self.runs.get_mut(key) else {
            return false;
        };
        run.report &= report;
        if run.stop != StopStage::Wanted {
            return false;
        }
        run.stop = StopStage::ToSend;
        true
    }

    /// Returns the runs that a stop is to be sent for.
    #[must_use]
    pub fn stops_to_send(&self) -> Vec<RunKey> {
        let runs = self.runs.iter();
        let runs = runs.filter(|(_, run)| run.stop == StopStage::ToSend);
        runs.map(|(key, _)| key.clone()).collect()
    }

    /// Takes note that a stop was sent.
    pub fn stop_sent(&mut self, key: &RunKey, call: CallId) {
        if let Some(run) = self.runs.get_mut(key) {
            run.stop = StopStage::Sent(call);
        }
    }

    /// Takes note of the reply to a stop, or that there is none.
    pub fn stop_replied(&mut self, now: Millis, key: &RunKey, call: CallId, taken: bool) {
        if let Some(run) = self.runs.get_mut(key) {
            if run.stop == StopStage::Sent(call) {
                run.stop = if taken {
                    StopStage::Taken(now)
                } else {
                    StopStage::ToSend
                };
            }
        }
    }

    /// Tells whether an end is awaited that a listing shows sooner than the
    /// target would by itself.
    #[must_use]
    pub fn is_pressing(&self) -> bool {
        self.stage == Stage::Settling
            || self
                .runs
                .values()
                .any(|run| !matches!(run.stop, StopStage::Wanted))
    }
}
