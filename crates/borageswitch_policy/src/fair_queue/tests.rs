use super::*;

fn request(ticket: u64, caller: &str, team: Option<(&str, u32)>) -> QueuedRequest {
    QueuedRequest {
        offer: Offer {
            ticket: Ticket(ticket),
            caller: CallerName::from(caller),
            priority: Priority::Normal,
            deadline: Time::from_millis(10_000),
            kind: 1,
            retryable: true,
        },
        team: team.map(|(name, _)| TeamName::from(name)),
        weight: team.map_or(NO_TEAM_WEIGHT, |(_, weight)| weight),
        arrived: Time::ZERO,
        expected: Duration::from_millis(10),
        upper_estimate: Duration::from_millis(30),
        length: RunLength::Short,
        attempts: 0,
        avoid: None,
        may_have_run: None,
    }
}

const LANE: LaneKey = LaneKey { priority: Priority::Normal, length: RunLength::Short };

fn drain(queue: &mut FairQueue, count: usize) -> Vec<CallerName> {
    let mut served = Vec::new();
    while served.len() < count {
        let Some(next) = queue.next(LANE, |_| false) else { break };
        let ticket = next.offer.ticket;
        served.push(queue.take(ticket).expect("it waits").offer.caller);
    }
    served
}

#[test]
fn quiet_caller_is_served_next_whatever_another_sends() {
    let mut queue = FairQueue::default();
    for ticket in 0..1_000 {
        queue.push(request(ticket, "hot", None));
    }
    drain(&mut queue, 10);
    queue.push(request(5_000, "quiet", None));

    let served = drain(&mut queue, 2);

    assert!(served.contains(&CallerName::from("quiet")), "{served:?}");
}

#[test]
fn teams_share_by_weight_and_not_by_their_number_of_callers() {
    let mut queue = FairQueue::default();
    for ticket in 0..400 {
        let caller = format!("big-{}", ticket % 40);
        queue.push(request(ticket, &caller, Some(("big", 1))));
        queue.push(request(1_000 + ticket, "small", Some(("small", 3))));
    }

    let served = drain(&mut queue, 200);

    let small = served.iter().filter(|caller| caller.as_str() == "small").count();
    assert!((148..=152).contains(&small), "{small}");
}

#[test]
fn requests_of_a_caller_keep_their_order_and_retries_go_first() {
    let mut queue = FairQueue::default();
    queue.push(request(1, "a", None));
    queue.push(request(2, "a", None));
    let mut again = request(3, "a", None);
    again.attempts = 1;
    queue.push(again);

    let order: Vec<u64> = std::iter::from_fn(|| {
        let ticket = queue.next(LANE, |_| false)?.offer.ticket;
        queue.take(ticket).map(|taken| taken.offer.ticket.0)
    })
    .collect();

    assert_eq!(order, [3, 1, 2]);
}

#[test]
fn team_at_its_quota_is_skipped() {
    let mut queue = FairQueue::default();
    queue.push(request(1, "a", Some(("full", 1))));
    queue.push(request(2, "b", Some(("other", 1))));

    let next = queue.next(LANE, |team| team.as_str() == "full");

    assert_eq!(next.map(|next| next.offer.ticket), Some(Ticket(2)));
}

#[test]
fn backlog_of_a_quiet_caller_is_small_behind_a_hot_one() {
    let mut queue = FairQueue::default();
    for ticket in 0..100 {
        queue.push(request(ticket, "hot", None));
    }

    let hot = queue.backlog(Priority::Normal, &CallerName::from("hot"), &None, 1);
    let quiet = queue.backlog(Priority::Normal, &CallerName::from("quiet"), &None, 1);

    assert_eq!(hot.own, Duration::from_secs(1));
    assert_eq!(quiet, Backlog { all: Duration::from_secs(1), own: Duration::ZERO });
}

#[test]
fn removed_requests_leave_no_state() {
    let mut queue = FairQueue::default();
    for ticket in 0..10_000 {
        queue.push(request(ticket, &format!("c{}", ticket % 7), None));
    }

    for ticket in 0..10_000 {
        assert!(queue.remove(Ticket(ticket)).is_some());
    }

    assert!(queue.is_empty());
    assert_eq!(queue.caller_count(), 0);
    assert_eq!(queue.first_too_late(Time::MAX), None);
    assert_eq!(
        queue.backlog(Priority::Batch, &CallerName::from("c1"), &None, 1).all,
        Duration::ZERO
    );
}
