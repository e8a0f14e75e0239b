use serde_json::json;

use super::*;

#[test]
fn an_overview_tells_who_waits_who_is_refused_and_each_callers_use() {
    // Fields that a newer daemon adds to a caller are shown as well.
    let overview = json!({
        "queues": [{"queue": "runs", "wait_ms": 900, "wait_beyond_ms": 4_000, "beyond": ["ana"]}],
        "waiting": [{"queue": "runs", "caller": "ana", "jobs": 7}],
        "refused": [{
            "queue": "runs", "caller": null, "reason": "no-use", "times": 2, "last_ms_ago": 40,
        }],
        "manual_limits": [{"subject": "caller/ana", "jobs_per_s": 2.5}],
        "callers": {"ana": {"used": {"cpu_milli": 500}, "share": 0.5}},
    });

    assert_eq!(
        sentences(&overview),
        [
            "queue runs: a job waits 900 ms, one beyond its caller's share 4000 ms",
            "  beyond their share: ana",
            "waiting: 7 jobs of queue runs, caller ana",
            "refused: 2 times queue runs, no-use, last 40 ms ago",
            "limited by hand: caller/ana to 2.5 jobs a second",
            "caller ana: share=0.5 used.cpu_milli=500",
        ]
    );
    assert_eq!(sentences(&json!({})), ["nobody waits, and nobody is refused"]);
}
