//! The record of a case: what was sent, answered and run, with the seconds since its start.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>, Instant);

impl Record {
    /// Creates the file that the first argument of the program names.
    pub fn create() -> Self {
        let path = std::env::args().nth(1).unwrap_or("record.txt".to_owned());
        let file = File::create(path).expect("the record can be written");
        Self(Arc::new(Mutex::new(file)), Instant::now())
    }

    /// Seconds since the case began.
    pub fn now_s(&self) -> f64 {
        self.1.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.0.lock().unwrap();
        let line = format!("{:8.3} {}\n", self.now_s(), text.as_ref());
        file.write_all(line.as_bytes())
            .expect("the record can be written");
    }
}
