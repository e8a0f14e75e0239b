//! Durations, powers and sizes as people write them.

use std::time::Duration;

use borageswitch_types::fleet::Watts;

/// Reads a duration such as `"250 ms"` or `"10 s"`.
///
/// # Errors
///
/// Says which form is expected.
pub fn parse_duration(text: &str) -> Result<Duration, String> {
    humantime::parse_duration(text)
        .map_err(|err| format!("'{text}' is no duration such as \"250 ms\": {err}"))
}

/// Reads a power such as `"900 W"` or `"44 kW"`.
///
/// # Errors
///
/// Says which form is expected.
pub fn parse_watts(text: &str) -> Result<Watts, String> {
    let scaled = scale(text, &[("MW", 1_000_000), ("kW", 1_000), ("W", 1)]);
    scaled.map(Watts).ok_or_else(|| format!("'{text}' is no power such as \"900 W\" or \"44 kW\""))
}

/// Reads a size such as `"64 KiB"` or `"16 MiB"`, in bytes.
///
/// # Errors
///
/// Says which form is expected.
pub fn parse_bytes(text: &str) -> Result<u64, String> {
    let scaled = scale(text, &[("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10), ("B", 1)]);
    scaled.ok_or_else(|| format!("'{text}' is no size such as \"64 KiB\" or \"16 MiB\""))
}

fn scale(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let (unit, factor) = units.iter().find(|(unit, _)| text.ends_with(unit))?;
    let number = text.strip_suffix(unit)?.trim_end();
    let number: u64 = number.parse().ok()?;
    number.checked_mul(*factor)
}
