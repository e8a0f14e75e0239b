//! Waves whose orders are slow, and whose reports are carried out late.

mod support;

use std::time::Duration;

use borageswitch_fakes::platform::{PlatformFaults, example::cores};
use support::{platform, run, start, wait_for};

/// The report of a wave that is completed, as the in-memory platform encodes it.
const COMPLETED: &[u8] = &[1];

#[test]
fn a_late_report_of_progress_does_not_replace_that_of_the_end() {
    // Guards against an operator who waits for a wave that is completed.
    run(async |ex| {
        let platform = platform();
        platform.add_executor("e1", "payroll", cores(8));
        let _daemon = start("d1", &platform, &ex);
        let report = || platform.get("reports/1").map(|item| item.value);
        platform.hold_next_write_of("reports/1");
        platform.request_wave(1, &["host-of-e1"]);
        wait_for(async || (report().as_deref() == Some(COMPLETED)).then_some(())).await;

        platform.carry_out_held_write();

        assert_eq!(report().as_deref(), Some(COMPLETED));
    });
}

#[test]
fn a_wave_whose_orders_take_seconds_is_completed() {
    // Guards against orders that are repeated for ever, each time without waiting for the response.
    run(async |ex| {
        let platform = platform();
        platform.add_executor("e1", "payroll", cores(8));
        let host_order_delay = Duration::from_millis(1_500);
        platform.set_faults(PlatformFaults { host_order_delay, ..Default::default() });
        let _daemon = start("d1", &platform, &ex);

        platform.request_wave(1, &["host-of-e1"]);

        let report = || platform.get("reports/1").map(|item| item.value);
        wait_for(async || (report().as_deref() == Some(COMPLETED)).then_some(())).await;
    });
}
