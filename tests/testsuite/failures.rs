//! Failures of processes: kills, suspension, outages of the platform, graceful shutdowns.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::Duration;

use crate::cluster::{now_ms, submission, submit, submit_until_final, wait_for, Cluster};

#[test]
fn an_owner_killed_in_the_middle_leads_to_no_second_start() {
    let mut cluster = Cluster::start("kill");
    let jobs: Vec<String> = (0..12)
        .map(|n| format!("hall-a.{}.k{n}", now_ms()))
        .collect();
    std::thread::scope(|scope| {
        let cluster_ref = &cluster;
        let waiting: Vec<_> = jobs
            .iter()
            .map(|id| scope.spawn(move || submit_until_final(cluster_ref, id, 4, 400)))
            .collect();
        std::thread::sleep(Duration::from_millis(200));
        cluster_ref.signal(0, "-KILL");
        for job in waiting {
            let reply = job.join().expect("a final reply");
            assert!([200, 502, 504].contains(&reply.status), "{}", reply.body);
        }
    });
    assert!(!cluster.exits_successfully(0));
    assert_eq!(cluster.started_tasks().1, 0, "no task started twice");
    // The other host of the hall takes over the killed host's shards.
    wait_for("a takeover", || cluster.shards_held() == 48);
    let id = format!("hall-a.{}.after", now_ms() + 400);
    assert_eq!(submit_until_final(&cluster, &id, 2, 50).status, 200);
}

#[test]
fn a_host_suspended_beyond_its_lease_starts_no_task_when_it_resumes() {
    let cluster = Cluster::start("freeze");
    cluster.signal(0, "-STOP");
    // The suspended host reads these once it resumes.
    let sent: Vec<_> = (0..6)
        .map(|n| {
            let id = format!("hall-a.{}.f{n}", now_ms());
            let body = submission(&id, 0, 2, 50);
            let host = cluster.hosts[0].listen;
            (id, std::thread::spawn(move || submit(host, &body)))
        })
        .collect();
    wait_for("a takeover", || cluster.shards_of(1) == 24);
    for (id, _) in &sent {
        let body = submission(id, 1, 2, 50);
        let reply = submit(cluster.hosts[1].listen, &body).expect("a reply");
        assert!(reply.status == 502 || reply.status == 200, "{}", reply.body);
    }
    let before = cluster.started_tasks();
    cluster.signal(0, "-CONT");
    for (id, thread) in sent {
        let reply = thread.join().expect("a thread").expect("a reply");
        assert!(
            [200, 502, 503].contains(&reply.status),
            "{id}: {}",
            reply.body
        );
    }
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(
        cluster.started_tasks(),
        before,
        "started after the resumption"
    );
    assert_eq!(before.1, 0);
}

#[test]
fn jobs_complete_during_a_platform_outage_longer_than_the_lease() {
    let cluster = Cluster::start("outage");
    cluster.set_platform_faults("{\"outage\":true}");
    // Longer than a lease: from then on ownership rests on the promises of peers.
    std::thread::sleep(Duration::from_millis(5_000));
    for n in 0..8 {
        let hall = if n % 2 == 0 { "hall-a" } else { "hall-b" };
        let id = format!("{hall}.{}.o{n}", now_ms());
        let host = cluster.hosts[n % 4].listen;
        let reply = submit(host, &submission(&id, 0, 3, 50)).expect("a reply");
        assert_eq!(reply.status, 200, "{}", reply.body);
    }
    cluster.set_platform_faults("{}");
    assert_eq!(cluster.started_tasks(), (24, 0));
}

#[test]
fn graceful_shutdowns_in_turn_under_load_interrupt_no_job() {
    let mut cluster = Cluster::start("stops");
    let done = AtomicBool::new(false);
    let complete = AtomicU64::new(0);
    let unexpected: Mutex<Vec<String>> = Mutex::default();
    // Clients send to the host that isn't being stopped, as a load balancer would do; it
    // forwards the jobs of the other host's shards.
    for stopped in [0, 1] {
        let serving = cluster.hosts[1 - stopped].listen;
        std::thread::scope(|scope| {
            for client in 0..4 {
                let (done, complete, unexpected) = (&done, &complete, &unexpected);
                scope.spawn(move || {
                    let mut n = 0;
                    while !done.load(Ordering::Relaxed) {
                        let id = format!("hall-a.{}.s{stopped}-{client}-{n}", now_ms());
                        let body = submission(&id, 0, 2, 100);
                        match submit(serving, &body) {
                            Ok(reply) if reply.status == 200 => {
                                complete.fetch_add(1, Ordering::Relaxed)
                            }
                            other => {
                                unexpected
                                    .lock()
                                    .expect("no holder panics")
                                    .push(format!("{other:?}"));
                                0
                            }
                        };
                        n += 1;
                    }
                });
            }
            std::thread::sleep(Duration::from_millis(500));
            cluster.signal(stopped, "-TERM");
            assert!(cluster.exits_successfully(stopped), "the shutdown succeeds");
            std::thread::sleep(Duration::from_millis(500));
            done.store(true, Ordering::Relaxed);
        });
        done.store(false, Ordering::Relaxed);
        cluster.restart(stopped);
        wait_for("shards divided evenly", || cluster.is_balanced());
        wait_for("a ready host", || {
            crate::http::call(cluster.hosts[stopped].listen, "GET", "/readyz", "")
                .is_ok_and(|r| r.status == 200)
        });
    }
    assert!(complete.load(Ordering::Relaxed) > 20);
    let unexpected = unexpected.into_inner().expect("no holder panics");
    assert!(
        unexpected.is_empty(),
        "requests not answered with results: {unexpected:?}"
    );
    assert_eq!(cluster.started_tasks().1, 0);
}
