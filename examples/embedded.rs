//! Embeds a host in a program: starts a stand-in of the platform and one host, then requests the
//! host's status.

use quetzalpoint::connection::caller::Caller;
use quetzalpoint::standin::platform::PlatformServer;
use quetzalpoint::version::questionnaire::Questionnaire;
use quetzalpoint::{Host, Result, Settings};

#[tokio::main]
async fn main() -> Result<()> {
    let answers = include_str!("answers/tarlac.toml").replace("127.0.0.1", "127.1.2.3");
    let config = Questionnaire::from_toml(&answers)?.generate(1)?;
    let platform = "127.1.2.3:19999".parse().expect("the address is valid");
    let _platform = PlatformServer::start(platform, &config).await?;
    let host_config = &config.fleet.hosts[0];
    let settings = Settings {
        host: host_config.id.clone(),
        domain: host_config.domain.clone(),
        caller_addr: host_config.caller_addr,
        peer_addr: host_config.peer_addr,
        platform: Some(platform),
        peers: Vec::new(),
    };
    let host = Host::builder(settings).start().await?;
    let status = Caller::status(host_config.caller_addr).await?;
    println!("{} serves version {}", status.host, status.config_version);
    host.stop();
    Ok(())
}
