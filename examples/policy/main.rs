//! Compares the policy with a naive baseline in a simulation with fake services under virtual time.
//!
//! `cargo run --release --example policy -- --deployment casablanca --seed 1`. docs/POLICY.md explains
//! the situations and the figures.

mod crash;
mod deployment;
mod ending;
mod exchange;
mod fakes;
mod measure;
mod parts;
mod situations;

use std::process::ExitCode;

use deployment::Deployment;
use measure::Figures;
use serde::Serialize;
use situations::Situation;

const USAGE: &str = "usage: policy [--deployment casablanca|ulaanbaatar] [--seed N] [--json]\n       \
                     [--situation NAME] [--trace]";

/// Figures of one situation, with the policy and with the baseline.
#[derive(Debug, Serialize)]
struct Line {
    deployment: &'static str,
    situation: &'static str,
    policy: Figures,
    baseline: Figures,
}

/// Options of the command line.
struct Options {
    /// Deployments to simulate; all by default.
    deployments: Vec<Deployment>,
    seed: u64,
    json: bool,
    /// The only situation to simulate, if one is given.
    situation: Option<String>,
    /// Whether to print the state of the bottleneck four times a second during runs with the policy.
    trace: bool,
}

fn main() -> ExitCode {
    let Some(options) = parse(std::env::args().skip(1)) else {
        eprintln!("{USAGE}");
        return ExitCode::from(2);
    };
    let mut lines = Vec::new();
    for deployment in &options.deployments {
        let all = Situation::all().into_iter();
        let selected = |s: &Situation| options.situation.as_ref().is_none_or(|name| s.name == name);
        for situation in all.filter(selected) {
            let run = |naive: bool| {
                let trace = options.trace && !naive;
                situations::run(deployment, &situation, naive, options.seed, trace)
            };
            let (policy, baseline) = (run(false), run(true));
            let line =
                Line { deployment: deployment.name, situation: situation.name, policy, baseline };
            if !options.json {
                println!(
                    "{}",
                    measure::row(line.deployment, line.situation, "policy", &line.policy)
                );
                println!("{}", measure::row("", "", "baseline", &line.baseline));
            }
            lines.push(line);
        }
    }
    if options.json {
        println!("{}", serde_json::to_string_pretty(&lines).unwrap_or_default());
    }
    ExitCode::SUCCESS
}

/// Parses the command line. Returns `None` if it is invalid.
fn parse(mut args: impl Iterator<Item = String>) -> Option<Options> {
    let mut options = Options {
        deployments: vec![deployment::casablanca(), deployment::ulaanbaatar()],
        seed: 1,
        json: false,
        situation: None,
        trace: false,
    };
    while let Some(arg) = args.next() {
        match arg.as_str() {
            "--json" => options.json = true,
            "--trace" => options.trace = true,
            "--situation" => options.situation = Some(args.next()?),
            "--seed" => options.seed = args.next()?.parse().ok()?,
            "--deployment" => {
                let name = args.next()?;
                options.deployments.retain(|deployment| deployment.name == name);
                if options.deployments.is_empty() {
                    return None;
                }
            }
            _ => return None,
        }
    }
    Some(options)
}
