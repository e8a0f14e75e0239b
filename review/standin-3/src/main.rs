//! Plays one case of the third review: `standin-3 CASE FOLDER`, in the repository's root.
//!
//! Writes `record.txt` into the folder. Exits with 1 if the rule was broken, 0 if it held, and 2 if
//! the case could not run. With `TROUBLE=0` in the environment there is no disruption.

mod advisor;
mod advisor_burst;
mod executor;
mod http;
mod huge_demand;
mod json;
mod late_submission;
mod record;
mod site;
mod store;

use std::{path::PathBuf, process::ExitCode};

use record::Recorder;

/// Whether the rule held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("standin-3 CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    match play(&case, &PathBuf::from(folder), trouble) {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(err) => {
            eprintln!("the case could not run: {err}");
            ExitCode::from(2)
        }
    }
}

fn play(case: &str, folder: &std::path::Path, trouble: bool) -> std::io::Result<Verdict> {
    let recorder = Recorder::create(&folder.join("record.txt"))?;
    recorder.line(&format!("case {case}, trouble: {trouble}"));
    let verdict = match case {
        "huge-demand" => huge_demand::play(recorder.clone(), trouble),
        "late-submission" => late_submission::play(recorder.clone(), trouble),
        "advisor-burst" => advisor_burst::play(recorder.clone(), trouble),
        _ => Err(std::io::Error::other("there is no such case")),
    };
    recorder.line(&format!("verdict: {verdict:?}"));
    verdict
}
