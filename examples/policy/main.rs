//! The policy measured beside a naive baseline, on small fakes under virtual time.
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

/// One situation, both ways.
#[derive(Debug, Serialize)]
struct Line {
    deployment: &'static str,
    situation: &'static str,
    policy: Figures,
    baseline: Figures,
}

/// What the command line asks for.
struct Options {
    deployments: Vec<Deployment>,
    seed: u64,
    json: bool,
    situation: Option<String>,
    /// Whether the bottleneck is shown every quarter of a second.
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
        let asked = |s: &Situation| options.situation.as_ref().is_none_or(|name| s.name == name);
        for situation in all.filter(asked) {
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
