//! The load of a runner that announces a rate limit, by policy of sharing the rate, fault and fleet size.
//!
//! Prints the ratio of the requests in 4 s to the bound of the test, the excess over what the rate allows,
//! and the minimum utilization of the rate over 10 s: the worst of twenty seeds. Then prints the bytes that
//! rate limits add to reports, and draws `pressure.svg` in the build folder: the requests over time while
//! a hall is partitioned.

#[path = "../tests/pressure/mod.rs"]
mod pressure;

use std::error::Error;
use std::path::Path;

use cottoncrank::Millis;
use cottoncrank_fleet::allocation::Demand;
use cottoncrank_fleet::feedback::Digest;
use cottoncrank_fleet::rate::Rate;
use cottoncrank_fleet::runner::Incarnation;
use cottoncrank_fleet::throttle::Message;
use plotters::prelude::*;
use pressure::{
    ANNOUNCED, END, FAULT_PERIOD, FAULTS, Fault, POLICIES, Policy, Simulation, find_max, find_min, simulate,
};

const SEEDS: std::ops::Range<u64> = 1..21;

const RATES: [f64; 2] = [1.1, 20.0];

/// The number of runners that announce a rate, of six hundred.
const RATE_LIMITED: usize = 60;

/// The window, in milliseconds, over which the plotted rates are counted.
const PLOT_WINDOW: u64 = 1000;

const PLOTTED_POLICIES: [(Policy, RGBColor); 3] = [
    (Policy::Forgotten, RGBColor(150, 150, 150)),
    (Policy::Lent, RGBColor(200, 120, 0)),
    (Policy::Wanted, BLUE),
];

fn main() -> Result<(), Box<dyn Error>> {
    print_table();
    print_bytes()?;
    draw(Path::new(env!("CARGO_TARGET_TMPDIR")).join("pressure.svg").as_path())
}

fn print_table() {
    println!("rate | nodes | trouble | way | against | excess | used | used before");
    for rate in RATES {
        for nodes in [12, 90, 300] {
            for fault in FAULTS {
                for policy in POLICIES {
                    let outcomes = simulate(policy, fault, nodes, rate, SEEDS);
                    println!(
                        "{rate} | {nodes} | {fault:?} | {policy:?} | {:.2} | {:.1} | {:.2} | {:.2}",
                        find_max(&outcomes, |one| one.load_ratio),
                        find_max(&outcomes, |one| one.excess),
                        find_min(&outcomes, |one| one.utilization),
                        find_min(&outcomes, |one| one.calm_utilization),
                    );
                }
            }
        }
    }
}

/// Prints the bytes that rate limits and demand add to the report of a hall.
fn print_bytes() -> Result<(), Box<dyn Error>> {
    let runner_id = |number: usize| format!("i-{number:010x}").parse();
    let claim = |number| -> Result<Message, Box<dyn Error>> {
        let life = Some(Incarnation(1_770_000_000_000 + number as u64));
        let (asked, heard) = (Millis(900), Millis(600));
        Ok(Message { runner: runner_id(number)?, life, rate: Some(Rate(1600)), asked, heard })
    };
    let claims = (0..RATE_LIMITED).map(claim).collect::<Result<Vec<Message>, _>>()?;
    let demand =
        |number| Ok::<Demand, Box<dyn Error>>(Demand { runner: runner_id(number)?, rate: Rate(5300) });
    let demands = (0..RATE_LIMITED).map(demand).collect::<Result<Vec<Demand>, _>>()?;
    let digest = Digest { claims, ..Digest::default() };
    let (digest, demands) = (rmp_serde::to_vec(&digest)?.len(), rmp_serde::to_vec(&demands)?.len());
    println!("bytes for {RATE_LIMITED} runners: claims {digest}, wants {demands}");
    Ok(())
}

/// Draws the requests over time while one hall of three is partitioned from the runner and the others.
fn draw(path: &Path) -> Result<(), Box<dyn Error>> {
    let rate = RATES[1];
    let root = SVGBackend::new(path, (820, 360)).into_drawing_area();
    root.fill(&WHITE)?;
    let seconds = END as f64 / 1000.0;
    let mut chart = ChartBuilder::on(&root)
        .caption("A runner that takes 20 a second; a hall is cut off from 20 s to 30 s", ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..seconds, 0.0..60.0)?;
    chart.configure_mesh().x_desc("seconds").y_desc("requests a second").draw()?;
    let allowed = [(ANNOUNCED as f64 / 1000.0, rate), (seconds, rate)];
    chart.draw_series(LineSeries::new(allowed, &RED))?.label("named").legend(|at| draw_legend(at, RED));
    for (policy, color) in PLOTTED_POLICIES {
        let sent = Simulation::new(policy, Fault::HallCut, 300, rate, 1).trace();
        let count =
            |from: u64| sent.iter().filter(|at| (from..from + PLOT_WINDOW).contains(at)).count() as f64;
        let points = (0..END - PLOT_WINDOW).step_by(100).map(|from| (from as f64 / 1000.0, count(from)));
        chart
            .draw_series(LineSeries::new(points, &color))?
            .label(format!("{policy:?}"))
            .legend(move |at| draw_legend(at, color));
    }
    for at in [FAULT_PERIOD.start, FAULT_PERIOD.end] {
        let at = at as f64 / 1000.0;
        chart.draw_series(LineSeries::new([(at, 0.0), (at, 60.0)], &BLACK))?;
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    root.present()?;
    println!("{}", path.display());
    Ok(())
}

/// Draws the mark of a line in the legend.
fn draw_legend((x, y): (i32, i32), color: RGBColor) -> PathElement<(i32, i32)> {
    PathElement::new(vec![(x, y), (x + 18, y)], color)
}
