//! Starts in doubt, and runs that are to be ended.

use super::*;

impl Target {
    /// Takes note that the target took a start.
    pub fn start_taken(&mut self, now: Millis, key: &AttemptId) {
        if let Some(attempt) = self.attempts.get_mut(key) {
            attempt.taken.get_or_insert(now);
        }
    }

    /// Has a run ended whose start has no reply.
    pub fn doubt(&mut self, key: &AttemptId) {
        if let Some(attempt) = self.attempts.get_mut(key) {
            if attempt.taken.is_none() && attempt.stop == StopStage::Wanted {
                attempt.stop = StopStage::ToSend;
            }
        }
    }

    /// Has a run ended. With `report` its owner is told of the end.
    pub fn stop(&mut self, key: &AttemptId, report: bool) -> bool {
        let Some(attempt) = self.attempts.get_mut(key) else {
            return false;
        };
        attempt.report &= report;
        if attempt.stop != StopStage::Wanted {
            return false;
        }
        attempt.stop = StopStage::ToSend;
        true
    }

    /// Returns the runs that a stop is to be sent for.
    #[must_use]
    pub fn stops_to_send(&self) -> Vec<AttemptId> {
        let attempts = self.attempts.iter();
        let attempts = attempts.filter(|(_, attempt)| attempt.stop == StopStage::ToSend);
        attempts.map(|(key, _)| key.clone()).collect()
    }

    /// Takes note that a stop was sent.
    pub fn stop_sent(&mut self, key: &AttemptId, call: CallId) {
        if let Some(attempt) = self.attempts.get_mut(key) {
            attempt.stop = StopStage::Sent(call);
        }
    }

    /// Takes note of the reply to a stop, or that there is none.
    pub fn stop_replied(&mut self, now: Millis, key: &AttemptId, call: CallId, taken: bool) {
        if let Some(attempt) = self.attempts.get_mut(key) {
            if attempt.stop == StopStage::Sent(call) {
                attempt.stop = if taken {
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
        self.stage == LeaseStage::Settling
            || self
                .attempts
                .values()
                .any(|attempt| !matches!(attempt.stop, StopStage::Wanted))
    }
}
