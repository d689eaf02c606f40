//! Sweeps of a scale run along one axis, lines fitted to their results, and Markdown pages that
//! hold the tables between marks.
use super::{invalid_option, Measure};
use crate::Failure;
use basaltpitch_testbed::scale::linear_fit::{fit_line, LinearFit};
use serde_json::{json, Map, Value};
use std::path::Path;

/// The parameters that a sweep can vary.
pub const AXES: [&str; 5] = ["machines", "planners", "tenants", "running", "rate"];
/// The minimum number of different points to fit a line to: two determine a line, more show its
/// residual.
pub const MIN_POINTS: usize = 4;

/// Several runs that differ in one parameter.
pub struct Sweep {
    /// The parameter, one of `AXES`.
    pub axis: String,
    /// The parameter's value in each run.
    pub points: Vec<f64>,
}

impl Sweep {
    /// Parses the option `--sweep`, such as `machines=500,1000,1500,2100`.
    pub fn read(text: &str) -> Result<Sweep, Failure> {
        let expected =
            format!("one of {} with numbers, such as machines=500,1000,1500,2100", AXES.join(", "));
        let Some((axis, rest)) = text.split_once('=').filter(|x| AXES.contains(&x.0)) else {
            return invalid_option("sweep", format!("{text:?}"), &expected);
        };
        let numbers: Result<Vec<f64>, _> = rest.split(',').map(str::parse).collect();
        let Ok(points) = numbers else { return invalid_option("sweep", format!("{text:?}"), &expected) };
        let mut distinct = points.clone();
        distinct.sort_by(f64::total_cmp);
        distinct.dedup();
        if distinct.len() < MIN_POINTS {
            let found = format!("{} different points", distinct.len());
            return invalid_option(
                "sweep",
                found,
                &format!("{MIN_POINTS} or more, to fit a line and show its residual"),
            );
        }
        let is_valid =
            |point: &f64| point.is_finite() && *point > 0.0 && (axis == "rate" || point.fract() == 0.0);
        if let Some(point) = points.iter().find(|point| !is_valid(point)) {
            return invalid_option("sweep", point, &format!("{axis} above 0, whole numbers except of rate"));
        }
        Ok(Sweep { axis: axis.to_owned(), points })
    }

    /// Returns the measurement of each point: `usual` with the parameter changed.
    pub fn runs(&self, usual: &Measure) -> Vec<Measure> {
        let run = |point: &f64| {
            let mut run = usual.clone();
            let count = *point as usize;
            match self.axis.as_str() {
                "machines" => run.machines = count,
                "planners" => run.planners = count,
                "tenants" => run.tenants = count,
                "running" => run.running = count,
                _ => run.rate = *point,
            }
            run
        };
        self.points.iter().map(run).collect()
    }
}

/// Returns the row of one run in the table of a sweep; figures that the run lacks are left out.
pub fn row(axis: &str, point: f64, report: &Value) -> Value {
    let mut row = Map::new();
    row.insert(axis.to_owned(), if point.fract() == 0.0 { json!(point as u64) } else { json!(point) });
    let find_row = |list: &str, field: &str, name: &str| {
        let rows = report[list].as_array().cloned().unwrap_or_default();
        rows.into_iter().find(|row| row[field] == *name).unwrap_or_default()
    };
    let (planner, voter, register) = (
        find_row("roles", "role", "planner"),
        find_row("roles", "role", "voter"),
        find_row("roles", "role", "register"),
    );
    let mut add_figure = |name: &str, value: &Value| {
        if !value.is_null() {
            row.insert(name.to_owned(), value.clone());
        }
    };
    add_figure("planner_cpu_percent", &planner["cpu_percent"]);
    add_figure("planner_cpu_percent_most", &planner["cpu_percent_most"]);
    add_figure("planner_mib", &planner["mib"]);
    add_figure("planner_mib_most", &planner["mib_most"]);
    add_figure("planner_descriptors", &planner["descriptors_most"]);
    add_figure("voter_cpu_percent", &voter["cpu_percent"]);
    add_figure("register_cpu_percent", &register["cpu_percent"]);
    add_figure("register_mib", &register["mib"]);
    for kind in ["heartbeats", "summaries", "council", "inventories", "lists", "probes", "tasks", "control"] {
        add_figure(&format!("{kind}_bytes_a_s"), &find_row("traffic", "kind", kind)["bytes_a_s"]);
    }
    add_figure("control_bytes_a_s_most", &find_row("traffic", "kind", "control")["bytes_a_s_most"]);
    let all = find_row("load", "framework", "all");
    for field in ["p50_ms", "p99_ms", "p99.9_ms", "placed", "declined", "value"] {
        add_figure(field, &all[field]);
    }
    add_figure("urgent_p99.9_ms", &find_row("load", "framework", "urgent")["p99.9_ms"]);
    add_figure("cores_busy_by_others", &report["seen"]["cores_busy_by_others"]);
    Value::Object(row)
}

/// Rounds a number to six significant digits for a page.
fn six_digits(number: f64) -> f64 {
    if number == 0.0 || !number.is_finite() {
        return 0.0;
    }
    let scale = 10f64.powf(5.0 - number.abs().log10().floor());
    (number * scale).round() / scale
}

/// Fits a line over the axis to each column that is a number in every row.
pub fn fit_lines(axis: &str, rows: &[Value]) -> Value {
    let columns = rows.first().and_then(Value::as_object).into_iter().flatten().map(|column| column.0);
    let fit = |column: &String| {
        let points: Option<Vec<(f64, f64)>> =
            rows.iter().map(|row| Some((row[axis].as_f64()?, row[column].as_f64()?))).collect();
        let LinearFit { slope, intercept, residual } = fit_line(&points?)?;
        Some(json!({"figure": column, "slope": six_digits(slope), "intercept": six_digits(intercept),
            "residual": six_digits(residual)}))
    };
    columns.filter(|column| *column != axis).filter_map(fit).collect()
}

/// Renders a value as a table cell.
fn cell(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        value => value.to_string(),
    }
}

/// Renders rows as a Markdown table, with the column `first` before the other columns.
pub fn table(rows: &Value, first: &str) -> String {
    let Some(rows) = rows.as_array().filter(|row| !row.is_empty()) else { return String::new() };
    let mut names: Vec<&String> = rows[0].as_object().into_iter().flatten().map(|column| column.0).collect();
    names.sort_by_key(|name| *name != first);
    let table_line = |cells: Vec<String>| format!("| {} |\n", cells.join(" | "));
    let mut text = table_line(names.iter().map(|name| (*name).clone()).collect());
    text += &table_line(names.iter().map(|_| "---".to_owned()).collect());
    for row in rows {
        text += &table_line(names.iter().map(|name| cell(&row[name.as_str()])).collect());
    }
    text
}

/// A Markdown page, split at the marks between which the tables are written.
pub struct Page {
    path: std::path::PathBuf,
    before: String,
    after: String,
}

impl Page {
    /// Reads a page and finds `<!-- measured: NAME -->` and the next `<!-- end -->`.
    ///
    /// # Errors
    /// The page cannot be read, or the marks are missing (`InvalidInput`).
    pub fn find(path: &Path, name: &str) -> Result<Page, Failure> {
        let (begins, ends) = (format!("<!-- measured: {name} -->"), "<!-- end -->");
        let shown = path.display();
        let text = std::fs::read_to_string(path);
        let text =
            text.map_err(|e| Failure::InvalidInput(format!("--into: {shown}: {e}; expected a page")))?;
        let marks = text.split_once(&begins).and_then(|(before, rest)| {
            let (old, after) = rest.split_once(ends)?;
            (!old.contains("<!-- measured:")).then(|| (before.to_owned(), after.to_owned()))
        });
        let Some((before, after)) = marks else {
            let expected =
                format!("lines {begins} and, after it, {ends}; put both into the page, or give --mark");
            return invalid_option("into", format!("no such place in {shown}"), &expected);
        };
        let (before, after) = (before + &begins + "\n", ends.to_owned() + &after);
        Ok(Page { path: path.to_owned(), before, after })
    }

    /// Writes the page with `tables` between its marks.
    pub fn write(&self, tables: &str) -> Result<(), Failure> {
        let written = std::fs::write(&self.path, format!("{}\n{tables}\n{}", self.before, self.after));
        written.map_err(|e| Failure::Failed(format!("{}: {e}", self.path.display())))
    }
}
