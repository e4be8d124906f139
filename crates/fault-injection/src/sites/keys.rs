//! The keys of the two sites, issued by the gateway program itself.

use std::path::Path;
use std::process::Command;

use super::harness::Gateway;
use crate::simulation::SITE_NAMES;

pub(super) fn issue_keys(
    program: &Path,
    folder: &Path,
    gateways: &[Gateway],
) -> Result<(), String> {
    let run = |arguments: &[String]| {
        let output = Command::new(program)
            .arg("keys")
            .args(arguments)
            .output()
            .map_err(|e| e.to_string())?;
        let said = String::from_utf8_lossy(&output.stderr).trim().to_string();
        output.status.success().then_some(()).ok_or(said)
    };
    let keys = folder.join("keys").display().to_string();
    run(&["authority".into(), keys.clone()])?;
    let names = gateways
        .iter()
        .map(|g| format!("{}/{}", SITE_NAMES[g.site], g.name));
    run(&["issue".to_string(), keys]
        .into_iter()
        .chain(names)
        .collect::<Vec<_>>())
}
