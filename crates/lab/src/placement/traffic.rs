//! The messages that hosts sent and received, from their `traffic` and `peer-asked` lines.

use std::collections::BTreeMap;

use gannetridge_host_log::Line;

/// Counts of messages by direction and kind, such as `to-peer place`.
type Counts = BTreeMap<String, u64>;

/// The messages of all hosts.
#[derive(Debug, Default)]
pub struct Traffic {
    /// The number of `peer-asked` lines.
    pub asked_lines: u64,
    /// The number of tasks that these lines name.
    pub asked_tasks: u64,
    /// Messages up to the last `traffic` line of each process.
    pub messages: Counts,
    /// The last counts of the current process of each host.
    current: BTreeMap<String, Counts>,
}

impl Traffic {
    /// Adds up lines that are in the order of time.
    #[must_use]
    pub fn new(lines: &[Line]) -> Self {
        let mut traffic = Self::default();
        for line in lines {
            traffic.handle_line(line);
        }
        let hosts: Vec<String> = traffic.current.keys().cloned().collect();
        for host in hosts {
            traffic.add_finished_process(&host);
        }
        traffic
    }

    fn handle_line(&mut self, line: &Line) {
        match line.event() {
            "started" if line.text("task").is_empty() => self.add_finished_process(&line.host),
            "peer-asked" => {
                self.asked_lines += 1;
                self.asked_tasks += line.number("tasks").unwrap_or(0.0) as u64;
            }
            "traffic" => {
                let counts = parse_counts(line.text("messages"));
                self.current.insert(line.host.clone(), counts);
            }
            _ => {}
        }
    }

    /// Adds the counts of a host's process; the next process counts from 0 again.
    fn add_finished_process(&mut self, host: &str) {
        for (kind, count) in self.current.remove(host).unwrap_or_default() {
            *self.messages.entry(kind).or_default() += count;
        }
    }
}

/// Parses counts such as `to-peer place 12, from-peer beat 7`.
fn parse_counts(text: &str) -> Counts {
    let parts = text.split(", ");
    let parts = parts.filter_map(|part| part.rsplit_once(' '));
    let counted = parts.filter_map(|(kind, count)| Some((kind.to_owned(), count.parse().ok()?)));
    counted.collect()
}
