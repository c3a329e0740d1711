//! What hosts sent and took in, from their `traffic` and `peer-asked` lines.

use std::collections::BTreeMap;

use gannetridge_host_log::Line;

/// Counts of messages by direction and kind, such as `to-peer place`.
type Counts = BTreeMap<String, u64>;

/// What all hosts sent and took in.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Lines `peer-asked`.
    pub asked_lines: u64,
    /// The tasks that these lines name.
    pub asked_tasks: u64,
    /// Messages up to the last `traffic` line of each process.
    pub messages: Counts,
    /// What each running process has counted so far.
    running: BTreeMap<String, Counts>,
}

impl Traffic {
    /// Adds up lines in the order of time.
    #[must_use]
    pub fn new(lines: &[Line]) -> Self {
        let mut traffic = Self::default();
        for line in lines {
            traffic.take(line);
        }
        let hosts: Vec<String> = traffic.running.keys().cloned().collect();
        for host in hosts {
            traffic.process_ended(&host);
        }
        traffic
    }

    fn take(&mut self, line: &Line) {
        match line.event() {
            "started" if line.text("task").is_empty() => self.process_ended(&line.host),
            "peer-asked" => {
                self.asked_lines += 1;
                self.asked_tasks += line.number("tasks").unwrap_or(0.0) as u64;
            }
            "traffic" => {
                let counts = counts(line.text("messages"));
                self.running.insert(line.host.clone(), counts);
            }
            _ => {}
        }
    }

    /// Adds what a process has counted: the next one of the host begins at 0.
    fn process_ended(&mut self, host: &str) {
        for (kind, count) in self.running.remove(host).unwrap_or_default() {
            *self.messages.entry(kind).or_default() += count;
        }
    }
}

/// Reads counts such as `to-peer place 12, from-peer beat 7`.
fn counts(text: &str) -> Counts {
    let parts = text.split(", ");
    let parts = parts.filter_map(|part| part.rsplit_once(' '));
    let counted = parts.filter_map(|(kind, count)| Some((kind.to_owned(), count.parse().ok()?)));
    counted.collect()
}
