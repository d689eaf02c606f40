//! Sweeps along one axis, lines through their points, and pages that hold what was measured between marks.
use super::{invalid_option, Measure};
use crate::Failure;
use basaltpitch_testbed::scale::linear_fit::{fit_line, LinearFit};
use serde_json::{json, Map, Value};
use std::path::Path;

pub const AXES: [&str; 5] = ["machines", "planners", "tenants", "running", "rate"];
/// Points that a line is drawn through, at least.
pub const FEWEST: usize = 4;

/// One of several runs: an axis, and where on it each run is.
pub struct Sweep {
    pub axis: String,
    pub points: Vec<f64>,
}

impl Sweep {
    /// Reads such as `machines=500,1000,1500,2100`.
    pub fn read(text: &str) -> Result<Sweep, Failure> {
        let expected =
            format!("one of {} with numbers, such as machines=500,1000,1500,2100", AXES.join(", "));
        let Some((axis, rest)) = text.split_once('=').filter(|x| AXES.contains(&x.0)) else {
            return invalid_option("sweep", format!("{text:?}"), &expected);
        };
        let numbers: Result<Vec<f64>, _> = rest.split(',').map(str::parse).collect();
        let Ok(points) = numbers else { return invalid_option("sweep", format!("{text:?}"), &expected) };
        let mut apart = points.clone();
        apart.sort_by(f64::total_cmp);
        apart.dedup();
        if apart.len() < FEWEST {
            let found = format!("{} different points", apart.len());
            return invalid_option(
                "sweep",
                found,
                &format!("{FEWEST} or more, for a line and what it leaves over"),
            );
        }
        let whole = |p: &f64| p.is_finite() && *p > 0.0 && (axis == "rate" || p.fract() == 0.0);
        if let Some(p) = points.iter().find(|p| !whole(p)) {
            return invalid_option("sweep", p, &format!("{axis} above 0, whole numbers except of rate"));
        }
        Ok(Sweep { axis: axis.to_owned(), points })
    }

    /// The runs.
    pub fn runs(&self, usual: &Measure) -> Vec<Measure> {
        let run = |p: &f64| {
            let mut run = usual.clone();
            let n = *p as usize;
            match self.axis.as_str() {
                "machines" => run.machines = n,
                "planners" => run.planners = n,
                "tenants" => run.tenants = n,
                "running" => run.running = n,
                _ => run.rate = *p,
            }
            run
        };
        self.points.iter().map(run).collect()
    }
}

/// What a sweep shows of a run, in one row.
pub fn row(axis: &str, at: f64, found: &Value) -> Value {
    let mut row = Map::new();
    row.insert(axis.to_owned(), if at.fract() == 0.0 { json!(at as u64) } else { json!(at) });
    let of = |list: &str, field: &str, name: &str| {
        let rows = found[list].as_array().cloned().unwrap_or_default();
        rows.into_iter().find(|r| r[field] == *name).unwrap_or_default()
    };
    let (planner, voter, register) =
        (of("roles", "role", "planner"), of("roles", "role", "voter"), of("roles", "role", "register"));
    let mut put = |name: &str, value: &Value| {
        if !value.is_null() {
            row.insert(name.to_owned(), value.clone());
        }
    };
    put("planner_cpu_percent", &planner["cpu_percent"]);
    put("planner_cpu_percent_most", &planner["cpu_percent_most"]);
    put("planner_mib", &planner["mib"]);
    put("planner_mib_most", &planner["mib_most"]);
    put("planner_descriptors", &planner["descriptors_most"]);
    put("voter_cpu_percent", &voter["cpu_percent"]);
    put("register_cpu_percent", &register["cpu_percent"]);
    put("register_mib", &register["mib"]);
    for kind in ["heartbeats", "summaries", "council", "inventories", "lists", "probes", "tasks", "control"] {
        put(&format!("{kind}_bytes_a_s"), &of("traffic", "kind", kind)["bytes_a_s"]);
    }
    put("control_bytes_a_s_most", &of("traffic", "kind", "control")["bytes_a_s_most"]);
    let all = of("load", "framework", "all");
    for field in ["p50_ms", "p99_ms", "p99.9_ms", "placed", "declined", "value"] {
        put(field, &all[field]);
    }
    put("urgent_p99.9_ms", &of("load", "framework", "urgent")["p99.9_ms"]);
    put("cores_busy_by_others", &found["seen"]["cores_busy_by_others"]);
    Value::Object(row)
}

/// Six digits of a number are enough for a page.
fn short(x: f64) -> f64 {
    if x == 0.0 || !x.is_finite() {
        return 0.0;
    }
    let to = 10f64.powf(5.0 - x.abs().log10().floor());
    (x * to).round() / to
}

/// A line through each column that is a number in every row.
pub fn fits(axis: &str, rows: &[Value]) -> Value {
    let columns = rows.first().and_then(Value::as_object).into_iter().flatten().map(|c| c.0);
    let fit = |column: &String| {
        let points: Option<Vec<(f64, f64)>> =
            rows.iter().map(|r| Some((r[axis].as_f64()?, r[column].as_f64()?))).collect();
        let LinearFit { slope, intercept, residual } = fit_line(&points?)?;
        Some(json!({"figure": column, "slope": short(slope), "intercept": short(intercept),
            "residual": short(residual)}))
    };
    columns.filter(|c| *c != axis).filter_map(fit).collect()
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        value => value.to_string(),
    }
}

/// Rows as a table of a page, with `first` before the other columns.
pub fn table(rows: &Value, first: &str) -> String {
    let Some(rows) = rows.as_array().filter(|r| !r.is_empty()) else { return String::new() };
    let mut names: Vec<&String> = rows[0].as_object().into_iter().flatten().map(|c| c.0).collect();
    names.sort_by_key(|n| *n != first);
    let line = |cells: Vec<String>| format!("| {} |\n", cells.join(" | "));
    let mut text = line(names.iter().map(|n| (*n).clone()).collect());
    text += &line(names.iter().map(|_| "---".to_owned()).collect());
    for row in rows {
        text += &line(names.iter().map(|n| cell(&row[n.as_str()])).collect());
    }
    text
}

/// A page, and the marks in it between which tables go.
pub struct Page {
    path: std::path::PathBuf,
    before: String,
    after: String,
}

impl Page {
    /// Finds `<!-- measured: NAME -->` and the next `<!-- end -->` of a page.
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

    pub fn write(&self, tables: &str) -> Result<(), Failure> {
        let written = std::fs::write(&self.path, format!("{}\n{tables}\n{}", self.before, self.after));
        written.map_err(|e| Failure::Failed(format!("{}: {e}", self.path.display())))
    }
}
