//! What was sent, answered and run, with the time since the start of the script.

use std::{
    collections::BTreeMap,
    fs::File,
    io::{BufWriter, Write},
    sync::Mutex,
    time::Instant,
};

pub struct Record {
    began: Instant,
    out: Mutex<BufWriter<File>>,
    counts: Mutex<BTreeMap<&'static str, u64>>,
}

impl Record {
    pub fn new(path: &str) -> Record {
        let file = File::create(path).expect("the record can be written");
        Record {
            began: Instant::now(),
            out: Mutex::new(BufWriter::new(file)),
            counts: Mutex::default(),
        }
    }

    pub fn note(&self, line: &str) {
        println!("{:8.3} {line}", self.began.elapsed().as_secs_f64());
        self.run(line);
        let _ = self.out.lock().unwrap().flush();
    }

    /// As [`Self::note`], to the file only.
    pub fn run(&self, line: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let _ = writeln!(self.out.lock().unwrap(), "{at:8.3} {line}");
    }

    pub fn count(&self, what: &'static str) {
        *self.counts.lock().unwrap().entry(what).or_default() += 1;
    }

    pub fn counted(&self, what: &str) -> u64 {
        self.counts.lock().unwrap().get(what).copied().unwrap_or(0)
    }
}
