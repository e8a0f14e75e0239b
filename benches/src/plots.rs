//! Draws figures of a run as SVG files.

use std::path::Path;

use plotters::prelude::{
    ChartBuilder, Circle, Color, IntoDrawingArea, IntoLogRange, LineSeries, Palette, Palette99,
    SVGBackend, WHITE,
};
use serde_json::Value;

const SIZE: (u32, u32) = (720, 420);
const MARGIN: u32 = 14;
const LABEL_AREA: u32 = 64;

/// One line of a plot: which table of a benchmark, which column, for which rows.
struct Curve {
    benchmark: &'static str,
    table: &'static str,
    column: &'static str,
    label: &'static str,
    rows: fn(&Value) -> bool,
}

struct Plot {
    file: &'static str,
    title: &'static str,
    unit: &'static str,
    curves: &'static [Curve],
}

const fn any_row(_: &Value) -> bool {
    true
}

fn nine_daemons(row: &Value) -> bool {
    row["daemons"] == 9
}

const PLOTS: &[Plot] = &[
    Plot {
        file: "document.svg",
        title: "The fleet document by hosts of a region",
        unit: "bytes",
        curves: &[
            curve("document", "memory_bytes", "in memory", any_row),
            curve("document", "stored_bytes", "in the store", any_row),
            curve("document", "snapshot_bytes", "snapshot to a peer", any_row),
        ],
    },
    Plot {
        file: "change.svg",
        title: "Work on one change by hosts of a region",
        unit: "microseconds",
        curves: &[
            curve("document", "read_us", "read from the store", any_row),
            curve("document", "write_us", "write for the store", any_row),
            curve("document", "apply_us", "apply", any_row),
            curve("document", "plan_us", "plan", any_row),
        ],
    },
    Plot {
        file: "core.svg",
        title: "Control of one daemon of nine by hosts of a region",
        unit: "percent of a core",
        curves: &[
            curve("live", "rest_core_percent", "at rest", nine_daemons),
            curve("live", "wave_core_percent", "in a hurried wave", nine_daemons),
        ],
    },
];

const fn curve(
    table: &'static str,
    column: &'static str,
    label: &'static str,
    rows: fn(&Value) -> bool,
) -> Curve {
    Curve { benchmark: "capacity", table, column, label, rows }
}

/// Draws every plot whose figures are in `figures` into `dir`.
///
/// # Errors
///
/// Says which file could not be drawn.
pub(crate) fn draw_all(dir: &Path, figures: &Value) -> Result<(), String> {
    for plot in PLOTS {
        let points: Vec<(&str, Vec<(f64, f64)>)> =
            plot.curves.iter().map(|curve| (curve.label, points(curve, figures))).collect();
        if points.iter().all(|(_, points)| points.is_empty()) {
            continue;
        }
        draw(&dir.join(plot.file), plot, &points).map_err(|err| format!("{}: {err}", plot.file))?;
    }
    Ok(())
}

fn points(curve: &Curve, figures: &Value) -> Vec<(f64, f64)> {
    let rows =
        figures[curve.benchmark][curve.table].as_array().map(Vec::as_slice).unwrap_or_default();
    let point = |row: &Value| Some((row["hosts"].as_f64()?, row[curve.column].as_f64()?));
    rows.iter().filter(|row| (curve.rows)(row)).filter_map(point).collect()
}

fn draw(path: &Path, plot: &Plot, curves: &[(&str, Vec<(f64, f64)>)]) -> Result<(), String> {
    let all = || curves.iter().flat_map(|(_, points)| points);
    let most_hosts = all().map(|(x, _)| *x).fold(1.0, f64::max);
    let least = all().map(|(_, y)| *y).fold(f64::MAX, f64::min).max(1e-3);
    let most = all().map(|(_, y)| *y).fold(least * 2.0, f64::max);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|err| err.to_string())?;
    let mut chart = ChartBuilder::on(&area)
        .caption(plot.title, ("sans-serif", 18))
        .margin(MARGIN)
        .x_label_area_size(LABEL_AREA / 2)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(0.0..most_hosts * 1.05, (least * 0.8..most * 1.25).log_scale())
        .map_err(|err| err.to_string())?;
    let mesh = chart.configure_mesh().x_desc("hosts").y_desc(plot.unit).draw();
    mesh.map_err(|err| err.to_string())?;
    for (i, (label, points)) in curves.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        chart
            .draw_series(LineSeries::new(points.iter().copied(), color.stroke_width(2)))
            .map_err(|err| err.to_string())?
            .label(*label)
            .legend(move |(x, y)| Circle::new((x + 8, y), 4, color.filled()));
        let dots = points.iter().map(|point| Circle::new(*point, 3, color.filled()));
        chart.draw_series(dots).map_err(|err| err.to_string())?;
    }
    let legend = chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw();
    legend.map_err(|err| err.to_string())?;
    area.present().map_err(|err| err.to_string())
}
