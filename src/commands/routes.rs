//! `cleatpulley routes`: imports nginx configurations, explains and compares their routing, and checks expectations on it.

use clap::Subcommand;
use cleatpulley::nginx::{load_routes, LocalFiles};
use cleatpulley::operator;
use cleatpulley_routes::diff::{describe_decision, diff_routes};
use cleatpulley_routes::expectations::{check_expectations, Coverage, ExpectationFile, Outcome};
use cleatpulley_routes::import::{known_directives, DirectiveSupport, Import};
use cleatpulley_routes::router::{RouteRequest, Router};
use serde_json::json;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Exit status where a configuration is not imported, routing differs or an expectation does not hold.
const NEGATIVE_RESULT_STATUS: u8 = 3;

/// The subcommands of `routes`.
#[derive(Subcommand)]
pub enum RoutesCommand {
    /// Import upstream, server and location blocks and print the routes; ends with 3 where anything is not supported
    Import {
        /// The configuration
        file: PathBuf,
        /// Print the routes as JSON, which is accepted wherever a configuration is
        #[arg(long)]
        json: bool,
    },
    /// Explain where a request goes, which block matches it, and why the others do not
    Explain {
        /// The configuration, or routes as JSON
        file: PathBuf,
        /// The method
        method: String,
        /// The URL, such as http://match.example.org/claim-seat?x=1
        url: String,
        /// A header, as NAME: VALUE
        #[arg(short = 'H', long = "header", value_parser = parse_header)]
        headers: Vec<(String, String)>,
        /// The address:port that received the request, where several have its port
        #[arg(long)]
        listen: Option<String>,
        /// The caller's address
        #[arg(long, default_value = "192.0.2.1")]
        remote: String,
        /// As JSON
        #[arg(long)]
        json: bool,
    },
    /// Show which requests another configuration routes elsewhere, with examples; ends with 3 where there are any
    Diff {
        /// The old configuration
        old: PathBuf,
        /// The new configuration
        new: PathBuf,
        /// As JSON
        #[arg(long)]
        json: bool,
    },
    /// Check expectations on the routing without traffic; ends with 3 where one does not hold
    Check {
        /// The configuration
        file: PathBuf,
        /// The expectations, a Jsonnet file
        expectations: PathBuf,
        /// As JSON
        #[arg(long)]
        json: bool,
    },
    /// Print how far each known directive is supported
    Directives,
}

fn parse_header(text: &str) -> Result<(String, String), String> {
    let parts = text
        .split_once(':')
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()));
    parts.ok_or_else(|| "not of the form NAME: VALUE".to_owned())
}

/// Runs the command.
///
/// # Errors
/// Where a file or an argument can't be read.
pub fn run(command: &RoutesCommand) -> Result<ExitCode, String> {
    match command {
        RoutesCommand::Import { file, json } => import(file, *json),
        RoutesCommand::Explain {
            file,
            method,
            url,
            headers,
            listen,
            remote,
            json,
        } => {
            let rest = url
                .strip_prefix("http://")
                .or_else(|| url.strip_prefix("https://"));
            let rest =
                rest.ok_or_else(|| format!("{url:?} does not begin with http:// or https://"))?;
            let (host, target) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
            let target = if target.is_empty() { "/" } else { target };
            let listen = listen.as_deref();
            explain(
                file,
                &RouteRequest {
                    listen_address: listen,
                    host,
                    method,
                    request_target: target,
                    headers,
                    caller_address: remote,
                },
                *json,
            )
        }
        RoutesCommand::Diff { old, new, json } => diff(old, new, *json),
        RoutesCommand::Check {
            file,
            expectations,
            json,
        } => check(file, expectations, *json),
        RoutesCommand::Directives => {
            for (name, contexts, support) in known_directives() {
                let (label, reason) = match support {
                    DirectiveSupport::Full => ("taken over", ""),
                    DirectiveSupport::Partial(reason) => ("differs", *reason),
                    DirectiveSupport::Ignored => ("passed over", ""),
                    DirectiveSupport::Unsupported(reason) => ("refused", *reason),
                };
                print_line!(
                    "{}",
                    format!("{name:32} {contexts:5} {label:12} {reason}").trim_end()
                );
            }
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn import(file: &Path, as_json: bool) -> Result<ExitCode, String> {
    let show = |routes: &cleatpulley_routes::model::Routes| -> Result<ExitCode, String> {
        if as_json {
            print_line!(
                "{}",
                serde_json::to_string_pretty(routes).map_err(|e| e.to_string())?
            );
        } else {
            routes
                .to_lines()
                .iter()
                .for_each(|line| print_line!("{line}"));
        }
        Ok(ExitCode::SUCCESS)
    };
    if file
        .extension()
        .is_some_and(|extension| extension == "json")
    {
        return show(&load_routes(file)?);
    }
    let name = file.to_str().ok_or("the file name is not valid UTF-8")?;
    let import = Import::read(&LocalFiles, name);
    for diagnostic in &import.diagnostics {
        eprintln!("{}", diagnostic.render());
    }
    if import.omitted_diagnostics > 0 {
        eprintln!(
            "{} more diagnostics are not shown",
            import.omitted_diagnostics
        );
    }
    if !import.is_complete() {
        eprintln!("{name}: not imported");
        return Ok(ExitCode::from(NEGATIVE_RESULT_STATUS));
    }
    show(&import.routes)
}

fn explain(file: &Path, request: &RouteRequest<'_>, as_json: bool) -> Result<ExitCode, String> {
    let router = Router::new(&load_routes(file)?)?;
    let (decision, steps) = router.explain(request)?;
    let destination = describe_decision(&Ok(decision));
    if as_json {
        print_line!("{}", json!({ "weighed": steps, "comes_to": destination }));
    } else {
        steps.iter().for_each(|line| print_line!("{line}"));
        print_line!("comes to: {destination}");
    }
    Ok(ExitCode::SUCCESS)
}

fn diff(old: &Path, new: &Path, as_json: bool) -> Result<ExitCode, String> {
    let difference = diff_routes(&load_routes(old)?, &load_routes(new)?)?;
    if as_json {
        print_line!(
            "{}",
            serde_json::to_string(&difference).map_err(|e| e.to_string())?
        );
    } else {
        for change in &difference.rerouted {
            print_line!("- {}", change.before);
            print_line!("+ {}", change.after);
            print_line!(
                "    such as {} ({} of those tried)",
                change.example,
                change.count
            );
        }
        difference
            .pools
            .iter()
            .for_each(|line| print_line!("pool {line}"));
        print_line!("{} requests tried", difference.probe_count);
    }
    Ok(if difference.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(NEGATIVE_RESULT_STATUS)
    })
}

fn check(file: &Path, expectations: &Path, as_json: bool) -> Result<ExitCode, String> {
    let routes = load_routes(file)?;
    let text = operator::evaluate(expectations).map_err(|e| e.to_string())?;
    let mut reader = serde_json::Deserializer::from_str(&text);
    let expectation_file: ExpectationFile =
        serde_path_to_error::deserialize(&mut reader).map_err(|e| {
            let message = e.inner().to_string();
            let message = message
                .split(" at line ")
                .next()
                .unwrap_or_default()
                .to_owned();
            format!("{}: {}: {message}", expectations.display(), e.path())
        })?;
    // Paths of configurations to compare with are relative to the expectations file.
    let folder = expectations
        .parent()
        .map(Path::to_owned)
        .unwrap_or_default();
    let reports = check_expectations(&routes, &expectation_file, &|name| {
        load_routes(&folder.join(name))
    })?;
    for report in &reports {
        if as_json {
            print_line!(
                "{}",
                serde_json::to_string(report).map_err(|e| e.to_string())?
            );
            continue;
        }
        let request_count = report.requests_checked;
        match &report.outcome {
            Outcome::Holds(Coverage::Proven) => print_line!("holds    {}: proven", report.name),
            Outcome::Holds(Coverage::Sampled) => {
                print_line!(
                    "holds    {}: for {request_count} requests that were tried",
                    report.name
                )
            }
            Outcome::Broken { example, count } => {
                print_line!("broken   {}: {example} ({count} found)", report.name)
            }
            Outcome::Vacuous(reason) => print_line!("vacuous  {}: {reason}", report.name),
        }
    }
    let all_hold = reports
        .iter()
        .all(cleatpulley_routes::expectations::ExpectationReport::holds);
    Ok(if all_hold {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(NEGATIVE_RESULT_STATUS)
    })
}
