use super::*;

fn size(cores: u64, gigabytes: u64) -> Size {
    Size { cpu_milli: cores * 1_000, memory_mb: gigabytes * 1_000, accelerators: 0 }
}

fn cores(cores: u64) -> Size {
    size(cores, 0)
}

fn claim(weight: f64, used: Size, waiting: Size) -> Claim {
    Claim { weight, used, waiting, past: PastUse::default() }
}

/// How many of `tasks` waiting tasks of a size are within the share of each caller.
fn within(capacity: &Size, claims: &[Claim], tasks: &[(Size, usize)]) -> Vec<usize> {
    let mut entitlements = Division::of(capacity, claims).entitlements;
    let taken = entitlements.iter_mut().zip(tasks);
    taken.map(|(entitlement, (size, tasks))| entitlement.take(size, *tasks)).collect()
}

#[test]
fn a_hot_caller_gets_what_the_others_leave() {
    // One of ten callers requests seven times its share. The others request less than theirs, and
    // would be late with the rest if all were served in the order of arrival.
    let mut claims = vec![claim(1.0, cores(0), cores(8)); 9];
    claims.push(claim(1.0, cores(0), cores(70)));
    let mut tasks = vec![(cores(1), 8); 9];
    tasks.push((cores(1), 70));

    let within = within(&cores(100), &claims, &tasks);

    assert_eq!(within[..9], [8; 9]);
    assert_eq!(within[9], 28);
}

#[test]
fn callers_that_all_want_more_share_by_weight() {
    // Without weights, a caller that pays for three times as much would get the same as the other.
    let claims = [claim(3.0, cores(0), cores(200)), claim(1.0, cores(0), cores(200))];

    let within = within(&cores(100), &claims, &[(cores(1), 200), (cores(1), 200)]);

    assert_eq!(within, [75, 25]);
}

#[test]
fn running_tasks_count_before_waiting_ones() {
    // A caller that already uses more than its share must not start more while another waits.
    let claims = [claim(1.0, cores(60), cores(50)), claim(1.0, cores(10), cores(80))];

    let within = within(&cores(100), &claims, &[(cores(1), 50), (cores(1), 80)]);

    assert_eq!(within, [0, 40]);
}

#[test]
fn two_resources_are_shared_by_the_dominant_one() {
    // Tasks of one caller need mostly memory, those of the other mostly cores. If only cores were
    // compared, the first caller would get nearly all of the memory.
    let claims = [claim(1.0, cores(0), size(100, 400)), claim(1.0, cores(0), size(300, 100))];

    let within = within(&size(90, 180), &claims, &[(size(1, 4), 100), (size(3, 1), 100)]);

    assert_eq!(within, [30, 20]);
}

#[test]
fn a_caller_that_needs_another_resource_is_not_held_back() {
    // Cores are exhausted. A caller whose tasks need only memory competes with nobody.
    let claims = [
        claim(1.0, cores(0), cores(100)),
        claim(1.0, cores(0), cores(100)),
        claim(1.0, cores(0), size(0, 90)),
    ];

    let tasks = [(cores(1), 100), (cores(1), 100), (size(0, 1), 90)];
    let within = within(&size(10, 100), &claims, &tasks);

    assert_eq!(within, [5, 5, 90]);
}

#[test]
fn weight_0_gets_what_all_others_leave() {
    // An operator sets the weight of a caller to 0. It must not take capacity that others request,
    // but idle capacity must not be kept from it.
    let short = [claim(0.0, cores(0), cores(50)), claim(1.0, cores(0), cores(200))];
    let spare = [claim(0.0, cores(0), cores(50)), claim(1.0, cores(0), cores(80))];
    let tasks = [(cores(1), 50), (cores(1), 200)];

    assert_eq!(within(&cores(100), &short, &tasks), [0, 100]);
    assert_eq!(within(&cores(100), &spare, &tasks)[0], 20);
    assert_eq!(Division::of(&cores(100), &short).newcomer(0.0).take(&cores(1), 9), 0);
}

#[test]
fn past_use_counts_and_is_forgotten() {
    // A caller has used the whole pool until a moment ago and its tasks have just ended. By present
    // use alone it would be due half of the pool again at once.
    let mut past = PastUse::steady(&cores(40));
    let claims = |past| {
        [Claim { past, ..claim(1.0, cores(0), cores(100)) }, claim(1.0, cores(0), cores(100))]
    };
    let tasks = [(cores(1), 100), (cores(1), 100)];

    let at_once = within(&cores(100), &claims(past), &tasks);
    past.advance(&cores(0), part_kept(Duration::from_secs(2)));
    let after_half_life = within(&cores(100), &claims(past), &tasks);
    (0..40).for_each(|_| past.advance(&cores(0), part_kept(Duration::from_secs(2))));
    let later = within(&cores(100), &claims(past), &tasks);

    assert_eq!(at_once, [30, 70]);
    assert_eq!(after_half_life, [40, 60]);
    assert_eq!(later, [50, 50]);
    assert!(past.0[0] < 40.0);
}

#[test]
fn a_share_smaller_than_a_task_starts_one() {
    // Forty callers share eight cores. Rounded down, each would be due nothing, and the order of
    // arrival would decide again.
    let claims = vec![claim(1.0, cores(0), cores(10)); 40];

    let within = within(&cores(8), &claims, &vec![(cores(1), 10); 40]);

    assert_eq!(within, [1; 40]);
}

#[test]
fn a_gang_is_within_the_share_as_a_whole_or_not_at_all() {
    let claims = vec![claim(1.0, cores(0), cores(12)); 2];
    let mut entitlement = Division::of(&cores(10), &claims).entitlements[0];

    let gangs = [(); 3].map(|()| entitlement.take_gang(&cores(1), 4));

    assert_eq!(gangs, [true, true, false]);
}

#[test]
fn random_divisions_use_all_and_give_nobody_less_than_its_weight() {
    // Guards against rounding and extreme weights: more than the pool would be promised, or some of
    // it to nobody although work waits.
    let mut rng = fastrand::Rng::with_seed(11);
    for round in 0..2_000 {
        let capacity = size(rng.u64(50..200), rng.u64(50..200));
        let random = |rng: &mut fastrand::Rng| size(rng.u64(0..20), rng.u64(0..20));
        let weights = [0.5, 1.0, 7.0, 1e-12, 1e12, 0.0];
        let claims: Vec<Claim> = (0..rng.usize(2..30))
            .map(|_| Claim {
                past: PastUse::steady(&random(&mut rng)),
                ..claim(weights[rng.usize(..weights.len())], size(0, 0), random(&mut rng))
            })
            .collect();

        let division = Division::of(&capacity, &claims);

        let mut total = Amounts::default();
        let mut unserved = Amounts::default();
        for (claim, entitlement) in claims.iter().zip(&division.entitlements) {
            let wanted = claim.requested(&capacity);
            let granted = entitlement.granted(claim);
            let part = if wanted > 0.0 { granted / wanted } else { 0.0 };
            add(&mut total, &parts_of(&claim.waiting, &capacity), part);
            add(&mut unserved, &parts_of(&claim.waiting, &capacity), 1.0 - part);
        }
        assert!(total.iter().all(|part| *part < 1.0 + 1e-6), "round {round}: {total:?}");
        let exhausted = total.iter().any(|part| *part > 1.0 - 1e-6);
        let all_served = unserved.iter().all(|part| *part < 1e-6);
        assert!(exhausted || all_served, "round {round}: {total:?} {unserved:?}");
    }
}
