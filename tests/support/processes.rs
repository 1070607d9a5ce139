//! Processes of the program under test, and the folders that they use.
#![allow(dead_code, reason = "each test file uses a part of it")]
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A process of the program; killed when it is dropped.
pub(crate) struct Process(pub(crate) Child);
impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}
impl Process {
    pub(crate) fn run(role: &str, settings: &Path) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_silvertack"));
        command.args([role, "--settings"]).arg(settings).stderr(Stdio::null());
        Self(command.spawn().expect(role))
    }
    pub(crate) fn signal(&self, name: &str) {
        let pid = self.0.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().expect("kill").success());
    }
}

/// A folder that is removed when it is dropped.
pub(crate) struct Folder(pub(crate) PathBuf);
impl Folder {
    pub(crate) fn new(name: &str, port: u16) -> Self {
        let folder = std::env::temp_dir().join(format!("silvertack-{name}-{port}"));
        std::fs::create_dir_all(&folder).expect("folder");
        Self(folder)
    }
    pub(crate) fn write(&self, name: &str, text: &str) -> PathBuf {
        let file = self.0.join(name);
        std::fs::write(&file, text).expect("settings");
        file
    }
}
impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Waits until something holds.
pub(crate) fn eventually(what: &str, mut check: impl FnMut() -> bool) {
    let start = Instant::now();
    while !check() {
        assert!(start.elapsed() < Duration::from_secs(20), "never: {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}
